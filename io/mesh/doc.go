// Package mesh sends and receives the Raft messages of a replicated log over the links between the members of its Raft
// group.
package mesh
