package ledger

import (
	"fmt"
	"slices"

	"wasabiweir/core/codec"
)

// ledgerSnapshot is the form of a Machine's state that is encoded in CBOR: the ledger's time and its records.
type ledgerSnapshot struct {
	NowMS   int64        `cbor:"now-ms"`
	Records []CallRecord `cbor:"records"`
}

// StateCopy is a copy of the ledger's state that later commands do not change.
type StateCopy struct{ snapshot ledgerSnapshot }

// CopyState copies the ledger's state. This takes much less time than encoding it, which can then run in another
// goroutine.
func (m *Machine) CopyState() *StateCopy {
	f := &StateCopy{snapshot: ledgerSnapshot{NowMS: m.nowMS, Records: make([]CallRecord, 0, len(m.records))}}
	for _, r := range m.records {
		f.snapshot.Records = append(f.snapshot.Records, *r)
	}
	return f
}

// Encode returns the copied ledger state in CBOR; replicas that applied the same commands return the same bytes.
func (c *StateCopy) Encode() ([]byte, error) {
	slices.SortFunc(c.snapshot.Records, func(a, b CallRecord) int { return a.ID.compare(b.ID) })
	data, err := codec.Encode(&c.snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Snapshot returns the ledger's state in CBOR, for Restore.
func (m *Machine) Snapshot() ([]byte, error) { return m.CopyState().Encode() }

// Restore replaces the ledger's state with that of a snapshot; if it returns an error, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s ledgerSnapshot
	if err := codec.Decode(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	*m = Machine{Limits: m.Limits, nowMS: s.NowMS}
	m.initDefaults()
	for i := range s.Records {
		r := &s.Records[i]
		m.insertRecord(r)
		if r.State == StateClaimed {
			m.claimExpiries.addExpiry(expiry{atMS: r.ExpiresMS, id: r.ID})
		}
	}
	return nil
}
