// Package stream replicates the output of a generation, so that its caller receives one consistent sequence of tokens
// even if engines, routers and journal holders fail. It decides which messages to send and does no input or output
// itself.
//
// A generation is the production of the answer to one request, and an attempt is one run of it on an engine. The router
// that owns a generation records its output in a journal, which it replicates to the journal holders: itself and other
// routers. A router uses these types:
//
//   - Holder stores the journals that this router keeps for itself and for others.
//   - Owner is the owning router's side of one generation.
//   - Transfer makes this router the owner of a generation, given the cursor of its caller.
//   - StallDetector decides when a silent attempt counts as lost.
//   - PrefillEstimator predicts the time to the first output of an attempt.
//
// After the loss of many engines at once, route.Pacer orders the next attempts.
//
// The journal of a generation is a sequence of batches. Each holder keeps the highest epoch that it promised and the
// epoch at which it last accepted batches. An owner releases a batch to the caller only after a quorum of the holder
// set accepted it at the owner's epoch. A transfer first collects promises from a quorum, which fences older owners. It
// then continues the journal that was accepted at the highest epoch (the longest of these) and writes it back as a
// whole at its own epoch. The write-back is one message, because a holder that accepted only a part of it would hide
// released batches from the next transfer.
//
// A change of the holder set takes two steps, as in joint consensus. The new set is prepared at a quorum of the old and
// of the new set, then announced as committed to a quorum of the new set. Until then each release needs a quorum of
// both sets.
//
// After the loss of an engine the owner keeps all tokens that it collected, also those not yet released. Its journal
// only grows and batches are released in order, so the next attempt continues from all collected tokens, and the caller
// never receives tokens of two different continuations.
//
// No type in this package is safe for concurrent use, and no method blocks.
package stream
