package raft_test

import (
	"fmt"

	"wasabiweir/core/raft"
)

// The only member of a group elects itself, commits a proposal and answers a linearizable read.
func Example() {
	id := raft.ID{Name: "a", Disk: "1"}
	node := &raft.Node{ID: id, Seed: 1}
	saved := raft.PersistentState{Snapshot: raft.Snapshot{Members: raft.Members{Voters: []raft.ID{id}}}}
	if err := node.Start(saved); err != nil {
		fmt.Println(err)
		return
	}
	work := func() {
		for r := node.Ready(); !r.Empty(); r = node.Ready() {
			// Here a real program sends r.MessagesBeforeSync, saves and syncs r.Snapshot, r.Entries and r.HardState,
			// and sends r.MessagesAfterSync.
			for _, e := range r.Committed {
				if e.Type == raft.EntryData {
					fmt.Printf("entry %d of term %d: %s\n", e.Index, e.Term, e.Data)
				}
			}
			for _, read := range r.Reads {
				fmt.Printf("%s at entry %d\n", read.Context, read.Index)
			}
			node.Advance()
		}
	}
	for node.Status().Role != raft.Leader {
		node.Tick()
		work()
	}
	if err := node.Propose([]byte("hello")); err != nil {
		fmt.Println(err)
	}
	work()
	if err := node.ReadIndex([]byte("read 1")); err != nil {
		fmt.Println(err)
	}
	work()
	// Output:
	// entry 2 of term 1: hello
	// read 1 at entry 2
}
