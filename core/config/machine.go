package config

import (
	"fmt"
	"strconv"

	"wasabiweir/core/object"
)

// Limits bounds the memory of a Machine. All replicas of the configuration must have the same limits, because the
// outcome of a change depends on them.
type Limits struct {
	// Outcomes is the number of changes whose outcomes are remembered.
	Outcomes int
	// OutcomeRevisions is the number of later revisions during which the outcome of a change is remembered.
	OutcomeRevisions uint64
	// HistoryRevisions is the number of configuration revisions that the history holds.
	HistoryRevisions int
	// HistoryObjects is the number of changed objects that the history holds, summed over its revisions.
	HistoryObjects int
}

// DefaultLimits keeps the outcomes and the history of changes for about six hours at 4,000 changes a day, in less than
// 32 MB at 500 bytes an object.
var DefaultLimits = Limits{Outcomes: 2000, OutcomeRevisions: 1000, HistoryRevisions: 1000, HistoryObjects: 60_000}

// Machine is the state machine of the replicated configuration; its zero value is revision 0 without objects. Replicas
// that apply the same log entries have the same state. It is not safe for concurrent use.
type Machine struct {
	// Limits bounds the remembered outcomes and the history. It is set before the first call; the zero value means
	// DefaultLimits.
	Limits Limits

	state    configState
	outcomes outcomeStore
	history  history
}

// configState is the configuration graph at one revision; a graph is never modified once a configState refers to it.
type configState struct {
	graph    *object.Graph
	revision uint64
	digest   object.Digest
}

// initDefaults sets the limits and the empty configuration graph of a zero Machine.
func (m *Machine) initDefaults() {
	if m.Limits == (Limits{}) {
		m.Limits = DefaultLimits
	}
	if m.state.graph == nil {
		m.state.graph = &object.Graph{}
		m.state.digest = m.state.graph.Digest()
	}
}

// Revision returns the current revision of the configuration.
func (m *Machine) Revision() uint64 { return m.state.revision }

// Digest returns the digest of the current configuration graph.
func (m *Machine) Digest() object.Digest {
	m.initDefaults()
	return m.state.digest
}

// Graph returns the current configuration graph; the caller must not modify it.
func (m *Machine) Graph() *object.Graph {
	m.initDefaults()
	return m.state.graph
}

// Apply applies one committed entry of the replicated log and returns the outcome of its change; a change that is not
// accepted leaves the configuration as it was.
func (m *Machine) Apply(data []byte) Outcome {
	m.initDefaults()
	e, err := DecodeEntry(data)
	if err != nil {
		return m.invalidOutcome("", malformedEntry(err))
	}
	fingerprint, err := changeFingerprint(&e.Change)
	if err != nil {
		return m.invalidOutcome("", malformedEntry(err))
	}
	if findings := checkEntryLengths(e); len(findings) > 0 {
		return m.invalidOutcome(e.Change.RequestID, findings)
	}
	if out, ok := m.repeatedOutcome(&e.Change, fingerprint); ok {
		return out
	}
	out, next := m.evaluateChange(&e.Change)
	if next != nil {
		m.acceptChange(e, fingerprint, next)
	}
	out.truncateDetails()
	m.outcomes.addOutcome(&rememberedOutcome{Fingerprint: fingerprint, Outcome: out})
	m.applyLimits()
	return out
}

// DryRun returns the outcome that Apply would give a configuration change now, without applying it; the change needs no
// request id.
func (m *Machine) DryRun(c *object.Change) Outcome {
	m.initDefaults()
	out, _ := m.evaluateChange(c)
	out.truncateDetails()
	return out
}

// Outcome returns the remembered outcome of the configuration change with a request id, or false if none is remembered.
func (m *Machine) Outcome(requestID string) (Outcome, bool) {
	remembered := m.outcomes.getOutcome(requestID)
	if remembered == nil {
		return Outcome{}, false
	}
	return remembered.Outcome, true
}

// repeatedOutcome returns the outcome of a configuration change that was applied before or reuses another change's
// request id, and false for a new change.
func (m *Machine) repeatedOutcome(c *object.Change, fingerprint object.Digest) (Outcome, bool) {
	if remembered := m.outcomes.getOutcome(c.RequestID); remembered != nil {
		if remembered.Fingerprint != fingerprint {
			return Outcome{Status: StatusReused, RequestID: c.RequestID, Revision: m.state.revision, Digest: m.state.digest}, true
		}
		out := remembered.Outcome
		out.Repeat = true
		return out, true
	}
	// The remembered outcome of an accepted change may have been removed because of Limits.Outcomes while the history
	// still holds the change.
	r := m.history.recordOf(c.BaseRevision + 1)
	if r == nil || r.RequestID != c.RequestID || r.Fingerprint != fingerprint {
		return Outcome{}, false
	}
	return Outcome{Status: StatusAccepted, RequestID: c.RequestID, Revision: r.Revision, Digest: r.Digest, Repeat: true}, true
}

// evaluateChange returns the outcome of a change to the current configuration and, if the change is accepted, the next
// state of the configuration.
func (m *Machine) evaluateChange(c *object.Change) (Outcome, *configState) {
	if c.BaseRevision > m.state.revision {
		return m.invalidOutcome(c.RequestID, []object.Finding{{
			Object: object.Ref{Name: "change"}, Field: "base-revision",
			Problem: fmt.Sprintf("%d is not reached", c.BaseRevision), Allowed: "the current revision, " + strconv.FormatUint(m.state.revision, 10),
		}}), nil
	}
	if c.BaseRevision < m.state.revision {
		return m.conflictOutcome(c), nil
	}
	graph, findings := m.state.graph.Apply(c)
	if len(findings) == 0 {
		findings = graph.Validate()
	}
	if len(findings) > 0 {
		return m.invalidOutcome(c.RequestID, findings), nil
	}
	next := &configState{graph: graph, revision: m.state.revision + 1, digest: graph.Digest()}
	return Outcome{Status: StatusAccepted, RequestID: c.RequestID, Revision: next.revision, Digest: next.digest}, next
}

// invalidOutcome returns the outcome of a configuration change that is rejected because of its validation errors.
func (m *Machine) invalidOutcome(requestID string, findings []object.Finding) Outcome {
	return Outcome{
		Status: StatusInvalid, RequestID: requestID, Revision: m.state.revision, Digest: m.state.digest, Findings: findings,
	}
}

// conflictOutcome returns the outcome of a change that is rejected because its base revision is not the current one,
// and lists the objects that have changed since.
func (m *Machine) conflictOutcome(c *object.Change) Outcome {
	out := Outcome{
		Status: StatusConflict, RequestID: c.RequestID, Revision: m.state.revision, Digest: m.state.digest,
		AcceptedRevision: c.BaseRevision + 1,
	}
	base, ok := m.history.graphAt(m.state, c.BaseRevision)
	if !ok {
		out.BaseForgotten = true
		return out
	}
	out.Differences = object.Diff(base, m.state.graph)
	return out
}

// acceptChange records an accepted change in the history and makes next the current state of the configuration.
func (m *Machine) acceptChange(e *Entry, fingerprint object.Digest, next *configState) {
	refs := e.Change.Refs()
	before, added := m.state.graph.Subset(refs)
	m.history.addRecord(RevisionRecord{
		Revision: next.revision, Digest: next.digest, RequestID: e.Change.RequestID, Fingerprint: fingerprint,
		Author: e.Author, TimeMS: e.TimeMS, Objects: refs, Before: before, Added: added,
	})
	m.state = *next
}

// applyLimits removes remembered outcomes and history records that are beyond the Machine's limits.
func (m *Machine) applyLimits() {
	var oldest uint64
	if m.state.revision > m.Limits.OutcomeRevisions {
		oldest = m.state.revision - m.Limits.OutcomeRevisions
	}
	m.outcomes.trimOutcomes(m.Limits.Outcomes, oldest)
	m.history.trimRecords(m.Limits.HistoryRevisions, m.Limits.HistoryObjects)
}

// malformedEntry returns the finding for a log entry that can't be decoded.
func malformedEntry(err error) []object.Finding {
	return []object.Finding{{Object: object.Ref{Name: "change"}, Problem: err.Error(), Allowed: "an encoded change"}}
}
