// Package mesh carries the messages of a replicated log over the links between control processes.
package mesh
