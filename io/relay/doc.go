// Package relay runs the process that forwards callers' requests to endpoints as the configuration's routes say: plain
// requests, and streams that go on at another endpoint when theirs fails.
//
// A relay holds nothing durable. It follows one keeper, applies no lower version of the configuration than it has had,
// and serves nothing before a quorum of keepers has confirmed the first one.
package relay
