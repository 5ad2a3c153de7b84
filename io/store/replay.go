package store

import (
	"wasabiweir/core/raft"

	"github.com/rotisserie/eris"
)

// logReplay rebuilds the hard state and the log entries of a Raft group from the records of its log files, which are
// passed to addRecord in order.
type logReplay struct {
	hardState    raft.HardState
	base         *EntryID // log entry before entries[0]; nil if unknown
	entries      []raft.Entry
	highestIndex uint64 // highest index of an entry or reset in the segment that is being read
}

// addRecord applies one record of the log files; it fails if the record does not follow from those before it.
func (p *logReplay) addRecord(r Record) error {
	if r.HardState != nil {
		if r.HardState.Term < p.hardState.Term {
			return eris.Errorf("the hard state has term %d after term %d", r.HardState.Term, p.hardState.Term)
		}
		p.hardState = *r.HardState
	}
	if r.Reset != nil {
		p.base = r.Reset
		p.entries = nil
		p.highestIndex = max(p.highestIndex, r.Reset.Index)
	}
	for _, e := range r.Entries {
		if err := p.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// addEntry appends an entry to the rebuilt Raft log, or replaces the entry of that index and all that follow it.
func (p *logReplay) addEntry(e raft.Entry) error {
	p.highestIndex = max(p.highestIndex, e.Index)
	if len(p.entries) == 0 {
		if p.base != nil && e.Index != p.base.Index+1 {
			return eris.Errorf("entry %d follows a snapshot that ends at entry %d", e.Index, p.base.Index)
		}
		p.entries = append(p.entries, e)
		return nil
	}
	first := p.entries[0].Index
	last := first + uint64(len(p.entries)) - 1
	if e.Index > last+1 {
		return eris.Errorf("gap in the log: entry %d follows entry %d", e.Index, last)
	}
	if e.Index < first {
		// The log entries before it were in segments that were deleted because a snapshot covers them.
		p.entries = append(p.entries[:0], e)
		return nil
	}
	p.entries = append(p.entries[:e.Index-first], e)
	return nil
}

// entriesAfter returns the entries of the rebuilt Raft log that follow the snapshot. If the log ends before the
// snapshot's last entry or has another term there, the snapshot replaces the log, and a crash interrupted its
// installation before the reset was recorded: entriesAfter then returns no entries and sets replaced.
func (p *logReplay) entriesAfter(s raft.Snapshot) (entries []raft.Entry, replaced bool, err error) {
	snapshotEnd := EntryID{Index: s.Index, Term: s.Term}
	first := s.Index + 1
	if len(p.entries) > 0 {
		first = p.entries[0].Index
	}
	if first > s.Index+1 || p.base != nil && p.base.Index > s.Index {
		return nil, false, eris.Errorf("the log starts at entry %d and the snapshot ends at entry %d", first, s.Index)
	}
	if first == s.Index+1 {
		if p.base != nil && *p.base != snapshotEnd {
			return nil, true, nil
		}
		return p.entries, false, nil
	}
	offset := s.Index - first
	if offset >= uint64(len(p.entries)) || p.entries[offset].Term != s.Term {
		return nil, true, nil
	}
	return p.entries[offset+1:], false, nil
}
