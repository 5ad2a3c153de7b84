// Package repl runs one member of a Raft group, which replicates a log: a Replica connects a raft.Node to its store,
// its transport and its state machine.
//
// The fields of a Replica are set before Run, which returns when its context ends or its disk fails. One goroutine
// drives the node. Proposals, reads and messages that arrive while that goroutine syncs the store are processed
// together afterwards and share the next sync.
//
// A Replica that fails with a store.CorruptError must not be restarted under the same identity: the owner calls
// store.Folder.RenewDiskID and starts a new Replica, which the leader adds as a learner.
package repl
