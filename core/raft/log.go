package raft

import "slices"

// memLog holds the Raft log entries after the last compaction and the group membership that is in effect at each of
// them.
type memLog struct {
	baseIndex    uint64           // index of the entry before entries[0], up to which the log is compacted
	baseTerm     uint64           // term of that entry
	entries      []Entry          // the entries after baseIndex, without gaps
	syncedIndex  uint64           // index of the last entry that is synced to this disk
	readyIndex   uint64           // index of the last entry that Ready has returned
	commitIndex  uint64           // index of the last entry that is known to be committed
	appliedIndex uint64           // index of the last entry that the state machine has applied
	memberships  []indexedMembers // in index order; the last one is in effect
}

// indexedMembers holds the members that are in effect from the log entry at index on.
type indexedMembers struct {
	index   uint64
	members Members
}

// resetToSnapshot replaces the whole log by a snapshot; the entries that it covers count as committed and applied.
func (l *memLog) resetToSnapshot(s Snapshot) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.syncedIndex, l.readyIndex, l.commitIndex, l.appliedIndex = s.Index, s.Index, s.Index, s.Index
	l.memberships = []indexedMembers{{index: s.Index, members: s.Members}}
}

// lastIndex returns the index of the last entry in the log.
func (l *memLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry in the log.
func (l *memLog) lastTerm() uint64 { return l.termAt(l.lastIndex()) }

// termAt returns the term of the log entry at index, or 0 if the log does not hold it; no entry has term 0.
func (l *memLog) termAt(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.baseIndex-1].Term
}

// hasEntry reports whether the log holds an entry with this index and term, or was compacted up to exactly that entry.
// Index 0 with term 0 stands for the start of a log.
func (l *memLog) hasEntry(index, term uint64) bool {
	if index < l.baseIndex || index > l.lastIndex() {
		return false
	}
	return l.termAt(index) == term
}

// entriesBetween returns the log entries from one index to another, both included.
func (l *memLog) entriesBetween(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return slices.Clip(l.entries[from-l.baseIndex-1 : to-l.baseIndex])
}

// entriesFrom returns the log entries from an index on, as many as fit in maxBytes, but at least one if there is any.
func (l *memLog) entriesFrom(from uint64, maxBytes int) []Entry {
	size := 0
	to := from - 1
	for to < l.lastIndex() {
		size += l.entries[to-l.baseIndex].approxEncodedSize()
		if size > maxBytes && to >= from {
			break
		}
		to++
	}
	return l.entriesBetween(from, to)
}

// members returns the group members that are in effect, whether or not the log entry that set them is committed.
func (l *memLog) members() Members { return l.memberships[len(l.memberships)-1].members }

// membersIndex returns the index of the log entry or snapshot that put the current group members into effect.
func (l *memLog) membersIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membersAt returns the group members that were in effect at the log index.
func (l *memLog) membersAt(index uint64) Members {
	m := l.memberships[0].members
	for _, c := range l.memberships {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

// appendEntries adds entries at the end of the log and records the group memberships that they contain.
func (l *memLog) appendEntries(entries ...Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Type == EntryMembers && e.Members != nil {
			l.memberships = append(l.memberships, indexedMembers{index: e.Index, members: *e.Members})
		}
	}
}

// truncateFrom removes the log entry at the index and all later ones. It clips the remaining slice of entries, so that
// later appends do not overwrite removed entries that queued messages still refer to.
func (l *memLog) truncateFrom(from uint64) {
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
	l.syncedIndex = min(l.syncedIndex, from-1)
	l.readyIndex = min(l.readyIndex, from-1)
	l.memberships = slices.DeleteFunc(l.memberships, func(c indexedMembers) bool { return c.index >= from })
}

// replaceConflicting appends those of the leader's entries that the log lacks, after it has removed entries of the log
// that conflict with them. It returns ErrCommittedConflict if that would remove a committed entry.
func (l *memLog) replaceConflicting(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.hasEntry(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.commitIndex {
			return ErrCommittedConflict
		}
		if e.Index <= l.lastIndex() {
			l.truncateFrom(e.Index)
		}
		l.appendEntries(entries[i:]...)
		return nil
	}
	return nil
}

// commitTo raises the commit index to the given index, at most to the end of the log, and reports whether it rose.
func (l *memLog) commitTo(index uint64) bool {
	index = min(index, l.lastIndex())
	if index <= l.commitIndex {
		return false
	}
	l.commitIndex = index
	return true
}

// firstKept returns the index of the first of the entries up to the index that a compaction keeps: the last ones, at
// most keep, with at most maxBytes together.
func (l *memLog) firstKept(index, keep uint64, maxBytes int) uint64 {
	first := index + 1
	size := 0
	for first > l.baseIndex+1 && index-first+1 < keep {
		size += l.entries[first-l.baseIndex-2].approxEncodedSize()
		if size > maxBytes {
			break
		}
		first--
	}
	return first
}

// compactTo removes the log entries up to and including the index; it does nothing if the entry at the index is not
// applied yet.
func (l *memLog) compactTo(index uint64) {
	if index <= l.baseIndex || index > l.appliedIndex {
		return
	}
	members := l.membersAt(index)
	l.baseTerm = l.termAt(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex = index
	memberships := []indexedMembers{{index: index, members: members}}
	for _, c := range l.memberships {
		if c.index > index {
			memberships = append(memberships, c)
		}
	}
	l.memberships = memberships
}

// findConflictByTerm returns the index and the term of the last log entry up to the given index whose term is at most
// the given one. By exchanging these, a leader and a follower skip a whole conflicting term with each message.
func (l *memLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.baseIndex && l.termAt(index) > term {
		index--
	}
	return index, l.termAt(index)
}
