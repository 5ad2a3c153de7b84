// Package relay implements the process that forwards callers' requests to endpoints according to the routes of the
// configuration. Plain requests get one complete response; streams of events are resumed at another endpoint when
// theirs fails.
//
// A relay stores nothing on disk. It receives the configuration and the list of endpoints from one keeper at a time,
// never replaces a configuration by an older version, and serves no request before a quorum of keepers has confirmed
// the first one.
package relay
