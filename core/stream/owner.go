package stream

import (
	"time"

	"wasabiweir/core/common"
)

// DefaultRetransmit is the time without an acknowledgement after which an Owner or a Transfer sends a message again.
const DefaultRetransmit = 100 * time.Millisecond

// maxRetransmit limits the retransmission interval, which doubles with each unacknowledged retransmission.
const maxRetransmit = 2 * time.Second

// Finish reasons of an answer that Owner sets or handles specially; engines may return others.
const (
	// FinishLength means that the answer has its maximum number of tokens.
	FinishLength = "length"
	// FinishStop means that the model ended the answer.
	FinishStop = "stop"
	// FinishAbort and FinishError mean that the engine gave the attempt up, so that an attempt on another engine has to
	// follow.
	FinishAbort = "abort"
	FinishError = "error"
)

// Owner is the state of one generation at the router that owns it. It replicates the output of the current attempt to
// the journal holders and releases the batches that a quorum of them accepted. For a new generation, set the exported
// fields and call Open; for an existing one, Transfer returns the Owner. The router also passes messages to its own
// Holder.
type Owner struct {
	// Record has the request parameters with which another engine can continue the generation.
	Record OpenRecord
	// Epoch is the epoch at which this router owns the generation.
	Epoch Epoch
	// Set is the current set of journal holders; Owner changes it when a replacement is complete.
	Set HolderSet
	// Retransmit is the initial interval between transmissions of the same message to a journal holder.
	Retransmit time.Duration

	journal journal
	// pending is the engine output that was collected since the last Flush and is not in the journal yet.
	pending Batch
	// progress has the replication progress of each member of the current and of the next holder set.
	progress []*holderProgress
	// nextSet is the set of journal holders to which a replacement in progress leads, or nil.
	nextSet *HolderSet
	// committing is true once a quorum of the current and one of the next holder set have prepared nextSet.
	committing bool
	// superseded is true once a holder has promised an epoch higher than Epoch.
	superseded bool
	// progressAdded is true once progress has the members of both holder sets.
	progressAdded bool

	// attempt is the number of the current attempt, from one.
	attempt        int
	attemptRunning bool

	// recoveredBatches is the number of batches in the journal that a transfer recovered.
	recoveredBatches int
	// released is the number of batches that a quorum of the journal holders accepted, returned the number that Release
	// has returned.
	released int
	returned int
	stats    OwnerStats
}

// OwnerStats counts the attempts of a generation, their tokens and the work of its Owner.
type OwnerStats struct {
	// Attempts is the number of attempts that were started.
	Attempts int
	// Dropped is the number of output tokens that were discarded, since their attempt was not the current one any more or
	// came with its failure.
	Dropped int
	// Reused is the sum, over all attempts, of the answer tokens that an attempt continued from.
	Reused int
	// Retransmitted is the number of journal messages that were sent again.
	Retransmitted int
	// Replacements is the number of completed replacements of a journal holder.
	Replacements int
}

// Output is a part of the answer, as an engine returned it for an attempt.
type Output struct {
	IDs  []Token
	Text string
	// Prompt holds the token ids of the prompt as the engine tokenized it; only the first output of an attempt has
	// them.
	Prompt []Token
	// Finish is the finish reason in the last output of an attempt and empty in all others.
	Finish string
	// Software is the software version of the engine, or empty if it is unknown.
	Software string
}

// AttemptAction tells the router what to do with an attempt after an output.
type AttemptAction uint8

// What a router has to do with an attempt after Owner.Output.
const (
	// AttemptContinue means that the output is part of the generation and the attempt goes on.
	AttemptContinue AttemptAction = iota + 1
	// AttemptCancel means that the output was dropped and that the router has to cancel the attempt, since it is not
	// the current one or its output is not needed any more.
	AttemptCancel
	// AttemptComplete means that the answer has its last token, so that the router may close the attempt.
	AttemptComplete
	// AttemptLost means that the engine gave the attempt up, so that the router has to start the next one.
	AttemptLost
	// AttemptMismatch means that the engine runs another software version than the one that began the answer. The output
	// was dropped, and the router has to start the next attempt on an engine with the version that Owner.Software
	// returns.
	AttemptMismatch
)

// AttemptRequest has the parameters of the engine request for the next attempt of a generation.
type AttemptRequest struct {
	// Attempt is the number of the attempt at the generation, from one.
	Attempt int
	// Prompt holds the token ids of the prompt, followed by those of the answer so far.
	Prompt []Token
	// Prefix is the number of answer tokens, from earlier attempts, at the end of Prompt.
	Prefix int
	// MaxTokens is the maximum number of tokens that the attempt may add; zero means no maximum.
	MaxTokens int
	// Seed is the sampling seed.
	Seed uint64
}

// ReleasedBatch is a batch that may be sent to the caller, with its position in the answer.
type ReleasedBatch struct {
	// Offset is the number of answer tokens before the batch.
	Offset int
	Batch
}

// Open returns the messages that send the open record of a new generation to its journal holders, or none while the
// token ids of the prompt are not known yet.
func (o *Owner) Open(now time.Time) []Message {
	if len(o.Record.Prompt) == 0 {
		return nil
	}
	o.initProgress()
	return o.dueMessages(now)
}

// initProgress creates the replication progress of each member of the holder sets. It does so at the first use, since
// an Owner has no constructor.
func (o *Owner) initProgress() {
	if o.progressAdded {
		return
	}
	o.progressAdded = true
	for _, m := range o.Set.Members {
		o.addProgress(m)
	}
	if o.nextSet == nil {
		return
	}
	for _, m := range o.nextSet.Members {
		o.addProgress(m)
	}
}

// StartAttempt begins the next attempt of the generation, which becomes the current one, and returns the request for
// it. It returns false if the answer is complete or another router owns the generation.
func (o *Owner) StartAttempt() (req AttemptRequest, ok bool) {
	if o.superseded || o.isAnswerComplete() {
		return AttemptRequest{}, false
	}
	o.attempt++
	o.attemptRunning = true
	n := o.journal.numTokens() + len(o.pending.IDs)
	o.stats.Attempts++
	o.stats.Reused += n
	req = AttemptRequest{Attempt: o.attempt, Prefix: n, Seed: o.Record.Seed}
	req.Prompt = make([]Token, 0, len(o.Record.Prompt)+n)
	req.Prompt = append(req.Prompt, o.Record.Prompt...)
	req.Prompt = append(req.Prompt, o.journal.ids...)
	req.Prompt = append(req.Prompt, o.pending.IDs...)
	if o.Record.MaxTokens > 0 {
		req.MaxTokens = o.Record.MaxTokens - n
	}
	return req, true
}

// EndAttempt ends the attempt because its engine was lost, and reports whether it was the current one and running.
func (o *Owner) EndAttempt(attempt int) bool {
	if attempt != o.attempt || !o.attemptRunning {
		return false
	}
	o.attemptRunning = false
	return true
}

// Output collects a part of the answer from an attempt and returns what the router has to do with the attempt.
func (o *Owner) Output(attempt int, out Output) AttemptAction {
	if attempt != o.attempt || !o.attemptRunning || o.superseded || o.isAnswerComplete() {
		o.stats.Dropped += len(out.IDs)
		return AttemptCancel
	}
	if !o.acceptsSoftware(out.Software) {
		o.stats.Dropped += len(out.IDs)
		o.attemptRunning = false
		return AttemptMismatch
	}
	if len(o.Record.Prompt) == 0 {
		o.Record.Prompt = out.Prompt
	}
	if out.Finish == FinishAbort || out.Finish == FinishError {
		// The text that comes with it may be an error message.
		o.stats.Dropped += len(out.IDs)
		o.attemptRunning = false
		return AttemptLost
	}
	if o.Tokens() == 0 {
		o.pending.Software = out.Software
	}
	o.pending.IDs = append(o.pending.IDs, out.IDs...)
	o.pending.Text += out.Text
	o.pending.Finish = out.Finish
	o.finishAtMaxTokens()
	if !o.isAnswerComplete() {
		return AttemptContinue
	}
	o.attemptRunning = false
	return AttemptComplete
}

// finishAtMaxTokens sets the finish reason once the answer has its maximum length. The engine sets it too, but the
// output with it may be lost.
func (o *Owner) finishAtMaxTokens() {
	n := o.journal.numTokens() + len(o.pending.IDs)
	if o.isAnswerComplete() || o.Record.MaxTokens == 0 || n < o.Record.MaxTokens {
		return
	}
	o.pending.Finish = FinishLength
}

// isAnswerComplete reports whether the owner has collected the last token of the answer, released or not.
func (o *Owner) isAnswerComplete() bool { return o.journal.finished() || o.pending.Finish != "" }

// Flush appends the collected output to the journal as one batch and returns the messages to journal holders that are
// due at now. The router calls it every few milliseconds.
func (o *Owner) Flush(now time.Time) []Message {
	if len(o.Record.Prompt) == 0 || o.superseded {
		return nil
	}
	o.initProgress()
	// Text without token ids waits for the next id, so that no two batches begin at the same token offset.
	if len(o.pending.IDs) > 0 || o.pending.Finish != "" {
		o.journal.addBatch(o.pending)
		o.pending = Batch{}
	}
	return o.dueMessages(now)
}

// Handle applies the reply of a journal holder to the Owner and returns the messages to holders that are then due at
// now.
func (o *Owner) Handle(now time.Time, r Reply) []Message {
	if r.ID != o.Record.ID {
		return nil
	}
	if o.Epoch.Less(r.PromisedEpoch) {
		o.superseded = true
		o.attemptRunning = false
	}
	p := o.progressOf(r.From)
	if o.superseded || p == nil || r.Epoch != o.Epoch {
		return nil
	}
	p.applyReply(now, r, o.retransmitInterval())
	o.updateReleasedBatches()
	return o.dueMessages(now)
}

// updateReleasedBatches recomputes, from the acknowledgements of the journal holders, the state of the replacement of a
// holder and the number of batches that may be released to the caller.
func (o *Owner) updateReleasedBatches() {
	// The replacement of a holder comes first, since after its end a release needs a quorum of the new holder set only.
	o.advanceSetChange()
	n := o.batchesAckedByQuorum(o.Set)
	if o.nextSet != nil {
		n = min(n, o.batchesAckedByQuorum(*o.nextSet))
	}
	o.released = max(o.released, n)
}

// batchesAckedByQuorum returns the number of batches that a quorum of the given journal holders has accepted.
func (o *Owner) batchesAckedByQuorum(s HolderSet) int {
	return valueReachedByQuorum(s, func(m HolderID) int { return o.progressOf(m).ackedBatches() })
}

// Release returns the batches for the caller, those that a quorum of the journal holders accepted, that it has not
// returned before.
func (o *Owner) Release() []ReleasedBatch {
	if o.superseded || o.returned >= o.released {
		return nil
	}
	out := make([]ReleasedBatch, 0, o.released-o.returned)
	for ; o.returned < o.released; o.returned++ {
		offset := int(o.journal.batchStart(o.returned).ids)
		out = append(out, ReleasedBatch{Offset: offset, Batch: o.journal.batch(o.returned)})
	}
	return out
}

// Opened reports whether a quorum of the journal holders has accepted the open record. Before that, the router must not
// send a cursor to the caller.
func (o *Owner) Opened() bool {
	return valueReachedByQuorum(o.Set, func(m HolderID) int {
		if p := o.progressOf(m); p != nil && p.installed {
			return 1
		}
		return 0
	}) > 0
}

// Cursor returns the cursor for a caller that has received the released batch.
func (o *Owner) Cursor(ev ReleasedBatch) Cursor {
	return Cursor{
		ID:     o.Record.ID,
		Set:    o.Set,
		Offset: ev.Offset + len(ev.IDs),
		Epoch:  o.Epoch.Number,
		Final:  ev.Finish != "",
	}
}

// ResumeAfter makes Release continue after the cursor of a caller that reconnects. Its error is a *common.Refusal.
func (o *Owner) ResumeAfter(c Cursor) error {
	i, err := o.nextBatchIndex(c)
	if err != nil {
		return err
	}
	o.returned = i
	return nil
}

// nextBatchIndex returns the index of the first batch that a caller with the cursor has not received. Its error is a
// *common.Refusal.
func (o *Owner) nextBatchIndex(c Cursor) (int, error) {
	if c.Offset > o.journal.numTokens() {
		return 0, journalLostRefusal("the caller has more tokens than the journal")
	}
	i, ok := o.journal.batchAt(c.Offset)
	if !ok {
		return 0, common.NewNotRunRefusal(common.ReasonBadCursor, "last-event-id", "the offset is inside a batch")
	}
	if !c.Final {
		return i, nil
	}
	if !o.journal.finished() || c.Offset != o.journal.numTokens() {
		return 0, journalLostRefusal("the caller has the end of the answer and the journal has not")
	}
	return o.journal.numBatches(), nil
}

// Superseded reports whether another owner has fenced this one, which then releases no more batches.
func (o *Owner) Superseded() bool { return o.superseded }

// Running returns the number of the current attempt and whether it is running.
func (o *Owner) Running() (attempt int, ok bool) { return o.attempt, o.attemptRunning }

// Complete reports whether the owner has collected the last token of the answer, so that no further attempt is needed.
func (o *Owner) Complete() bool { return o.isAnswerComplete() }

// Done reports whether Release has returned the last batch of the answer.
func (o *Owner) Done() bool { return o.journal.finished() && o.returned == o.journal.numBatches() }

// Released returns the number of answer tokens that a quorum of the journal holders has accepted.
func (o *Owner) Released() int { return int(o.journal.batchStart(o.released).ids) }

// Tokens returns the number of answer tokens collected so far, released to the caller or not.
func (o *Owner) Tokens() int { return o.journal.numTokens() + len(o.pending.IDs) }

// Software returns the software version of the engine that gave the first token of the answer. It is empty if there is
// no token yet or if the version is unknown; engines of any version may then continue the generation.
func (o *Owner) Software() string {
	switch {
	case o.Tokens() == 0:
		return ""
	case o.journal.numBatches() > 0:
		return o.journal.software
	}
	return o.pending.Software
}

// acceptsSoftware reports whether an engine of the software version may continue the answer. What two versions generate
// does not fit together.
func (o *Owner) acceptsSoftware(version string) bool {
	began := o.Software()
	return began == "" || began == version
}

// Stats returns the counts of attempts, tokens and messages since the Owner was created.
func (o *Owner) Stats() OwnerStats { return o.stats }

// Close returns the messages that tell all journal holders that no more output of the generation follows. If forget is
// true, the holders also delete the journal.
func (o *Owner) Close(forget bool) []Message {
	var out []Message
	for _, p := range o.progress {
		out = append(out, o.addressTo(p, Message{Close: &CloseRequest{Forget: forget}}))
	}
	return out
}

// retransmitInterval returns the retransmission interval Owner.Retransmit, or its default if it is not set.
func (o *Owner) retransmitInterval() time.Duration {
	return durationOr(o.Retransmit, DefaultRetransmit)
}

// journalLostRefusal returns the refusal of a caller whose answer cannot be continued, since the continuation might not
// match the tokens that the caller has received.
func journalLostRefusal(message string) *common.Refusal {
	return &common.Refusal{
		Reason:  common.ReasonJournalLost,
		Outcome: common.OutcomeUnknown,
		Message: message,
	}
}

// journalUnavailableRefusal returns the refusal of a caller that may try to resume again, since the journal of the
// answer is not known to be lost.
func journalUnavailableRefusal(message string) *common.Refusal {
	return &common.Refusal{
		Reason:  common.ReasonJournalUnavailable,
		Outcome: common.OutcomeUnknown,
		Message: message,
	}
}
