// Package config implements the replicated configuration: a state machine that applies a log of changes, and the
// follower that keeps a router's copy of the configuration up to date.
//
// # Idempotent requests
//
// The machine remembers the outcome of a change under its request id, for the last Limits.Outcomes outcomes and the
// last Limits.OutcomeRevisions revisions. A change that is sent again within these bounds gets the first outcome. A
// change that is sent again later is never applied twice, because each accepted change raises the revision and a change
// is accepted only on the current one:
//
//   - A change that was accepted is found in the history under the revision after its base, and gets its first outcome.
//     When the history no longer holds that revision, the change gets a conflict with BaseForgotten set, which says
//     that it may have been accepted before.
//   - A change that was rejected with a conflict gets a conflict again, because revisions only rise.
//   - An invalid change is validated again: it gets the same findings while its base is current, and a conflict
//     afterwards. A change whose base revision did not exist yet is treated as a new change.
//
// # Feed
//
// A router holds a Follower, which takes Updates from one control member at a time. Each update carries the member's
// revision and a FreshnessProof that a quorum confirmed the member's read index. The first proof on a connection only
// sets the baseline: a member that was partitioned away before the connection began can still send the last proof that
// it got, but not a later one.
package config
