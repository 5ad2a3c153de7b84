package config

import "wasabiweir/core/object"

// ChangeStatus says whether a configuration change was accepted or why it was rejected.
type ChangeStatus string

// The possible statuses of a configuration change.
const (
	// StatusAccepted means that the change was applied and created the configuration revision Outcome.Revision.
	StatusAccepted ChangeStatus = "accepted"
	// StatusInvalid means that the change or the resulting configuration graph is invalid, as listed in Outcome.Findings;
	// the configuration stays as it was.
	StatusInvalid ChangeStatus = "invalid"
	// StatusConflict means that another change, that of revision Outcome.AcceptedRevision, was accepted on the same base
	// revision; the configuration stays as it was.
	StatusConflict ChangeStatus = "conflict"
	// StatusReused means that the request id belongs to a change with other contents; the configuration stays as it was.
	StatusReused ChangeStatus = "request-id-reused"
)

// MaxOutcomeDetails is the maximum number of findings and of differences in the outcome of a configuration change.
// Outcomes are kept in memory, so their size must be bounded.
const MaxOutcomeDetails = 100

// Outcome is the result of a configuration change, as it is returned to the operator.
type Outcome struct {
	Status    ChangeStatus `json:"status" cbor:"status"`
	RequestID string       `json:"request-id" cbor:"request-id"`
	// Revision and Digest are those of the configuration after an accepted change, or of the current configuration when a
	// change was rejected.
	Revision uint64        `json:"revision" cbor:"revision"`
	Digest   object.Digest `json:"digest" cbor:"digest"`
	// AcceptedRevision is, for StatusConflict, the revision of the change that was accepted on the same base revision.
	AcceptedRevision uint64 `json:"winner,omitempty" cbor:"winner,omitempty"`
	// Differences lists the objects that differ between the change's base revision and Revision, for StatusConflict.
	Differences []object.Difference `json:"differences,omitempty" cbor:"differences,omitempty"`
	// Findings lists the validation errors of the change, for StatusInvalid.
	Findings []object.Finding `json:"findings,omitempty" cbor:"findings,omitempty"`
	// Omitted is the number of findings or differences of the outcome that were dropped because of MaxOutcomeDetails.
	Omitted int `json:"omitted,omitempty" cbor:"omitted,omitempty"`
	// BaseForgotten says that the history no longer holds the change's base revision, so that this very change may have
	// been accepted before.
	BaseForgotten bool `json:"forgotten,omitempty" cbor:"forgotten,omitempty"`
	// Repeat says that the change was sent before with the same request id, and that this is the outcome that it got then.
	Repeat bool `json:"repeat,omitempty" cbor:"repeat,omitempty"`
}

// truncateDetails drops the findings and differences of the outcome beyond MaxOutcomeDetails and counts them in
// Omitted.
func (o *Outcome) truncateDetails() {
	if n := len(o.Findings) - MaxOutcomeDetails; n > 0 {
		o.Findings = o.Findings[:MaxOutcomeDetails]
		o.Omitted += n
	}
	if n := len(o.Differences) - MaxOutcomeDetails; n > 0 {
		o.Differences = o.Differences[:MaxOutcomeDetails]
		o.Omitted += n
	}
}

// rememberedOutcome is the outcome of an applied configuration change with the fingerprint of the change's contents.
type rememberedOutcome struct {
	Fingerprint object.Digest `cbor:"fingerprint"`
	Outcome     Outcome       `cbor:"outcome"`
}
