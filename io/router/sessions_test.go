package router

import (
	"testing"

	"wasabiweir/core/common"
	"wasabiweir/core/stream"
)

// testBatch returns a released batch that begins at the token offset.
func testBatch(offset int, finish string, ids ...uint32) cursorBatch {
	return cursorBatch{ReleasedBatch: stream.ReleasedBatch{Offset: offset, Batch: stream.Batch{IDs: ids, Finish: finish}}}
}

// A caller resumes on another router before the session there has released any batch. Its position must be taken as a
// token offset: as an index of batches, it would give the caller the output from the start again.
func TestReaderResumesAtOffset(t *testing.T) {
	s := &session{changed: make(chan struct{})}
	at := streamPosition{offset: 3}
	if batch, _, _ := s.batchesAfter(at); len(batch) != 0 {
		t.Fatalf("%d batches before any release", len(batch))
	}
	s.batches = []cursorBatch{testBatch(0, "", 1, 2), testBatch(2, "", 3), testBatch(3, "", 4, 5), testBatch(5, "stop")}
	batch, _, _ := s.batchesAfter(at)
	if len(batch) != 2 || batch[0].Offset != 3 {
		t.Fatalf("batches %v, want those from token 3 on", batch)
	}
	end := batch[1].endPosition()
	if !end.final {
		t.Fatalf("position %v behind the last batch is not the end", end)
	}
	if batch, _, _ := s.batchesAfter(end); len(batch) != 0 {
		t.Fatalf("%d batches behind the end", len(batch))
	}
}

// If an engine refuses a resume, the caller must not be told "not run" when an earlier attempt may have run.
func TestRefusedResumeIsNotReportedAsNotRun(t *testing.T) {
	tokens := &stream.Owner{Record: stream.OpenRecord{Prompt: []uint32{1}}}
	tokens.StartAttempt()
	tokens.Output(1, stream.Output{IDs: []uint32{2}})
	for _, c := range []struct {
		name string
		s    *session
		want common.Outcome
	}{
		{"first attempt", &session{owner: &stream.Owner{}}, common.OutcomeNotRun},
		{"after a lost attempt", &session{owner: &stream.Owner{}, mayHaveRun: true}, common.OutcomeUnknown},
		{"after output", &session{owner: tokens, mayHaveRun: true}, common.OutcomeRan},
	} {
		f := c.s.withGenerationOutcome(common.NewNotRunRefusal(common.ReasonBadRequest, "", "the prompt is too long"))
		if f.Outcome != c.want {
			t.Errorf("%s: outcome %s, want %s", c.name, f.Outcome, c.want)
		}
	}
}
