package stand

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"

	"wasabiweir/core/token"
	"wasabiweir/io/serve"
)

// maxCatchUp bounds the delay that the simulated engine's step loop makes up for, by running steps back to back, after
// it fell behind schedule.
const maxCatchUp = 50 * time.Millisecond

// Finish reasons of a generation in the completions API: the output reached max_tokens, or ended by itself.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// job is one generation request that is waiting or running in the simulated engine.
type job struct {
	model        string
	tokenIDs     []uint32 // the prompt followed by the output so far
	promptIDs    []uint32
	promptTokens int // length of the prompt
	outputTokens int // number of tokens to generate
	maxTokens    int // max_tokens of the request
	priority     int
	seed         uint64
	seq          uint64 // order of arrival

	sampler        token.OutputChain // computes the next token from the previous ones
	prefillLeft    int               // prompt tokens that are not processed yet
	prefillPlanned int               // prompt tokens to process in the current step
	queued         bool              // still in the waiting queue
	ended          bool              // finished or cancelled
	output         outputBuffer
}

// generatedTokens returns the number of output tokens that the generation job has produced so far.
func (j *job) generatedTokens() int { return len(j.tokenIDs) - j.promptTokens }

// finishReason returns the finish reason that the completions API reports when the job has generated all its tokens.
func (j *job) finishReason() string {
	if j.outputTokens < j.maxTokens {
		return finishStop
	}
	return finishLength
}

// runsBefore reports whether the job is processed before the job o. Jobs are ordered by priority, lower values first,
// and then by arrival.
func (j *job) runsBefore(o *job) bool {
	if j.priority != o.priority {
		return j.priority < o.priority
	}
	return j.seq < o.seq
}

// outputBuffer passes a generation job's output from the engine's step loop to the HTTP handler that sends it.
type outputBuffer struct {
	mu           sync.Mutex    // guards tokenIDs and finishReason
	tokenIDs     []uint32      // generated and not yet taken
	finishReason string        // empty while the job runs
	updated      chan struct{} // signals new output; has a buffer of one
}

// pushTokens appends output tokens to the buffer, sets the finish reason and signals the HTTP handler that sends the
// output.
func (f *outputBuffer) pushTokens(finishReason string, ids ...uint32) {
	f.mu.Lock()
	f.tokenIDs = append(f.tokenIDs, ids...)
	f.finishReason = finishReason
	f.mu.Unlock()
	select {
	case f.updated <- struct{}{}:
	default:
	}
}

// takeTokens removes and returns the buffered output tokens. It also returns the finish reason, which is empty while
// the job runs.
func (f *outputBuffer) takeTokens() ([]uint32, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.tokenIDs
	f.tokenIDs = nil
	return ids, f.finishReason
}

// jobQueue is a heap of the engine's waiting generation jobs; it implements heap.Interface.
type jobQueue []*job

// Len returns the number of waiting generation jobs.
func (q *jobQueue) Len() int { return len(*q) }

// Less reports whether the job at i runs before the job at k, by priority and then by arrival.
func (q *jobQueue) Less(i, k int) bool { return (*q)[i].runsBefore((*q)[k]) }

// Swap exchanges the jobs at i and k.
func (q *jobQueue) Swap(i, k int) { (*q)[i], (*q)[k] = (*q)[k], (*q)[i] }

// Push appends a job to the heap's slice, as heap.Interface requires.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop removes and returns the last job of the heap's slice, as heap.Interface requires.
func (q *jobQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}

// jobBatch holds the simulated engine's running generation jobs and the queue of waiting ones.
type jobBatch struct {
	running []*job // in the order in which prompts are processed
	waiting jobQueue
	lastSeq uint64 // sequence number of the newest job
}

// submitJob puts a generation job into the engine's waiting queue and wakes the step loop.
func (e *Engine) submitJob(j *job) {
	e.engineMu.Lock()
	e.batch.lastSeq++
	j.seq = e.batch.lastSeq
	j.queued = true
	heap.Push(&e.batch.waiting, j)
	e.stats.PromptTokens += int64(j.promptTokens)
	if e.RecordSeeds {
		e.seeds[j.seed]++
	}
	e.recordSample()
	e.engineMu.Unlock()
	e.wakeStepLoop()
}

// cancelJob ends a generation job whose caller has disconnected and frees its slot in the engine. It does nothing if
// the job has already ended.
func (e *Engine) cancelJob(j *job) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if j.ended {
		return
	}
	if j.queued {
		i := slices.Index(e.batch.waiting, j)
		heap.Remove(&e.batch.waiting, i)
	}
	e.stats.Cancelled++
	e.endJob(j)
	e.recordSample()
}

// endJob removes a generation job from the running jobs and, if its whole prompt was processed, stores its tokens in
// the prefix cache. The caller holds engineMu.
func (e *Engine) endJob(j *job) {
	j.ended = true
	e.batch.running = slices.DeleteFunc(e.batch.running, func(o *job) bool { return o == j })
	if !j.queued && j.prefillLeft == 0 {
		e.cache.storeBlocks(e.Clock.Now(), j.model, j.tokenIDs)
	}
}

// wakeStepLoop signals the engine's step loop that a generation job is queued; it never blocks.
func (e *Engine) wakeStepLoop() {
	select {
	case e.workQueued <- struct{}{}:
	default:
	}
}

// loop runs the engine's batch steps on schedule and waits while there are no generation jobs. It returns when ctx
// ends or a fault kills the engine.
func (e *Engine) loop(ctx context.Context) error {
	next := time.Now()
	for {
		if !e.waitWhilePaused(ctx) {
			return ctx.Err()
		}
		d, ok := e.planBatchStep()
		if !ok {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.workQueued:
			}
			next = time.Now()
			continue
		}
		if late := time.Now().Add(-maxCatchUp); next.Before(late) {
			next = late
		}
		next = next.Add(d)
		if !serve.Sleep(ctx, time.Until(next)) {
			return ctx.Err()
		}
		if !e.waitWhilePaused(ctx) {
			return ctx.Err()
		}
		if e.runBatchStep() {
			return e.die()
		}
	}
}

// planBatchStep fills the engine's free slots, assigns prompt tokens to the next batch step and returns the step's
// duration. It returns false if there is no work.
func (e *Engine) planBatchStep() (time.Duration, bool) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.fillSlots()
	if len(e.batch.running) == 0 {
		return 0, false
	}
	decoding, budget := 0, e.PrefillChunk
	for _, j := range e.batch.running {
		if j.prefillLeft == 0 {
			decoding++
			continue
		}
		j.prefillPlanned = min(j.prefillLeft, budget)
		budget -= j.prefillPlanned
	}
	seconds := float64(e.PrefillChunk-budget) / e.PrefillTokensPerSecond
	if decoding > 0 {
		seconds += (1 + e.BatchSlowdown*float64(decoding-1)) / e.TokensPerSecond
	}
	seconds *= e.activeFaults.stepFactor(e.Clock.Now())
	return time.Duration(seconds * float64(time.Second)), true
}

// fillSlots moves waiting generation jobs into the engine's free slots and keeps the running jobs in the order in
// which their prompts are processed. The caller holds engineMu.
func (e *Engine) fillSlots() {
	changed := false
	for len(e.batch.running) < e.Slots && e.batch.waiting.Len() > 0 {
		j := heap.Pop(&e.batch.waiting).(*job)
		j.queued = false
		// The last prompt token is always processed, even if it is cached, because processing it yields the first
		// output token.
		j.prefillLeft = max(1, j.promptTokens-e.cache.countCachedTokens(j.model, j.tokenIDs))
		position, _ := slices.BinarySearchFunc(e.batch.running, j, func(a, b *job) int {
			if a.runsBefore(b) {
				return -1
			}
			return 1
		})
		e.batch.running = slices.Insert(e.batch.running, position, j)
		e.stats.Started++
		changed = true
	}
	if changed {
		e.recordSample()
	}
}

// runBatchStep runs one batch step of the engine: it processes the planned prompt tokens and generates one token for
// each job whose prompt is complete. It returns true if a fault kills the engine.
func (e *Engine) runBatchStep() bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	for _, j := range slices.Clone(e.batch.running) {
		if j.prefillLeft > 0 {
			j.prefillLeft -= j.prefillPlanned
			e.stats.PrefilledTokens += int64(j.prefillPlanned)
			j.prefillPlanned = 0
			if j.prefillLeft > 0 {
				continue
			}
			if containsTokens(j.promptIDs, e.activeFaults.deadlyTokens) {
				return true
			}
			e.cache.storeBlocks(e.Clock.Now(), j.model, j.tokenIDs)
		}
		if e.generateToken(j) && e.activeFaults.countToken() {
			return true
		}
		if len(j.tokenIDs)-j.promptTokens > hangTokens && containsTokens(j.promptIDs, e.activeFaults.hangingTokens) {
			e.activeFaults.hang(e.Clock.Now())
			return false
		}
	}
	e.recordSample()
	return false
}

// generateToken generates the next output token of a generation job and ends the job after its last token. It returns
// false if the job had no token left to generate. The caller holds engineMu.
func (e *Engine) generateToken(j *job) bool {
	if j.outputTokens == 0 {
		e.stats.Finished++
		e.endJob(j)
		j.output.pushTokens(j.finishReason())
		return false
	}
	id := j.sampler.Next(e.Salt)
	j.sampler.Add(id)
	j.tokenIDs = append(j.tokenIDs, id)
	e.stats.GeneratedTokens++
	if j.generatedTokens() < j.outputTokens {
		j.output.pushTokens("", id)
		return true
	}
	e.stats.Finished++
	e.endJob(j)
	j.output.pushTokens(j.finishReason(), id)
	return true
}
