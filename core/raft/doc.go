// Package raft implements the Raft consensus algorithm as an embeddable replicated log.
//
// A Node is a pure state machine: it has no clock, sockets, files or goroutines. Its owner calls Tick at a fixed
// interval, passes received messages to Step, and then works through Ready in this order:
//
//  1. send Ready.MessagesBeforeSync, which does not depend on this member's disk;
//  2. save Ready.Snapshot, then Ready.Entries and Ready.HardState, and sync them if Ready.Sync is set;
//  3. send Ready.MessagesAfterSync, which promise other members that the state of step 2 is durable;
//  4. restore Ready.Snapshot, apply Ready.Committed in order, and answer each of Ready.Reads once its index is applied;
//  5. call Advance, and then ProvideSnapshot if Ready.SnapshotNeeded is set.
//
// A message of step 3 that is sent before the sync of step 2 can lose committed entries after a crash, because it
// acknowledges entries or a vote that the member then forgets. No other method is called between Ready and Advance.
//
// The package implements these extensions of Raft:
//
//   - pre-vote: a member that returns from a network partition does not depose a working leader;
//   - check-quorum: a leader that hears from no quorum for an election timeout steps down;
//   - read-index reads: a quorum confirms the leader after the read arrives and before it is answered;
//   - learners, which receive the log and do not vote;
//   - membership changes of one member at a time, which take effect when they are appended;
//   - snapshots for members that need entries that the leader has compacted;
//   - append messages of limited size, of which a limited number is unacknowledged at a time.
//
// A member is identified by its instance name and the identifier of its disk. A member that returns with an empty
// disk has another identity, and neither votes nor acknowledges under the old one.
package raft
