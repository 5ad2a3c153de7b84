// Package ledger implements the replicated record of non-idempotent calls: a state machine that lets each idempotency
// key be sent at most once.
//
// A router proposes a claim before it sends a call, and sends the call only if the claim is granted. It then records
// the response, or that it sent no byte of the call. If no outcome is recorded before the claim expires, the outcome
// becomes unknown and the key is never granted again.
//
// # What a router must do
//
//   - It gives each call an attempt number that it uses only once per incarnation. A repeated claim carries the same
//     number and gets the same result.
//   - It sends the call at most once per granted claim, and never after it proposed not-run.
//   - If a claim is granted after the call has already ended at the router, the router proposes not-run at once, so
//     that the outcome does not become unknown.
//
// # Time
//
// The ledger's time is the highest leader timestamp in the applied commands. A key that is older than the retention is
// refused, and only the records of such keys are deleted, so a key can not be granted again after its record is
// deleted. Its outcome is reported as unknown, because the deleted record may have been that of a call that ran.
package ledger
