package stream

import "github.com/rotisserie/eris"

// Check returns an error if a message to a journal holder is not well-formed: it needs a request id, an epoch and
// exactly one body, which must be consistent with the request id.
func (m Message) Check() error {
	if m.ID == "" || m.Epoch.Number < FirstEpoch || m.Epoch.Router == "" {
		return eris.New("message without an id or an epoch")
	}
	bodies := 0
	for _, set := range []bool{
		m.Open != nil, m.Append != nil, m.Promise != nil, m.Install != nil, m.SetChange != nil, m.Close != nil,
	} {
		if set {
			bodies++
		}
	}
	if bodies != 1 {
		return eris.Errorf("message with %d bodies, want one", bodies)
	}
	switch {
	case m.Open != nil:
		return checkInstall(m.ID, m.Open.Record, m.Open.Set, nil)
	case m.Install != nil:
		if err := checkInstall(m.ID, m.Install.Record, m.Install.Set, m.Install.NextSet); err != nil {
			return err
		}
		return checkBatches(m.Install.Batches)
	case m.Append != nil:
		if m.Append.FirstBatch < 0 || m.Append.Offset < 0 {
			return eris.New("append with a negative batch index or token offset")
		}
		return checkBatches(m.Append.Batches)
	case m.SetChange != nil:
		return m.SetChange.Next.checkMembers()
	}
	return nil
}

// checkInstall returns an error if the open record has another request id than the message that carries it, or if a set
// of journal holders in the message is invalid.
func checkInstall(id string, record OpenRecord, set HolderSet, next *HolderSet) error {
	if record.ID != id {
		return eris.New("open record of another generation")
	}
	if next != nil {
		if err := next.checkMembers(); err != nil {
			return err
		}
	}
	return set.checkMembers()
}

// checkBatches returns an error if a batch of output tokens follows the one with the finish reason, which ends an
// answer.
func checkBatches(batches []Batch) error {
	for i, b := range batches {
		if b.Finish != "" && i < len(batches)-1 {
			return eris.New("batch after the finish reason")
		}
	}
	return nil
}

// checkMembers returns an error for a set of journal holders that is empty, and so has no quorum, that has more than
// maxHolders members, or that has a member without a router name or twice.
func (s HolderSet) checkMembers() error {
	n := len(s.Members)
	if n == 0 || n > maxHolders {
		return eris.Errorf("%d holders, 1 to %d are allowed", n, maxHolders)
	}
	for i, m := range s.Members {
		if m.Router == "" {
			return eris.New("holder without a router name")
		}
		for _, o := range s.Members[:i] {
			if m.SameIncarnation(o) {
				return eris.Errorf("holder %s is listed twice", m.Router)
			}
		}
	}
	return nil
}
