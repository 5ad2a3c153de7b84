// Package mesh sends and receives the raft messages of a replicated log over the links between its members.
package mesh
