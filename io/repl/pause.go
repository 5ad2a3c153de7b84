package repl

import "slices"

// maxPauseTicks bounds the Raft ticks for which a follower waits before it tries a leader again that refuses proposals.
const maxPauseTicks = 8

// forwardPause delays the proposals of a follower whose leader refuses them, for example until a snapshot is written.
// After a pause, which doubles with each refusal, a single proposal is sent as a probe; all others wait until it is
// applied. Otherwise each refusal would let the follower send all of them again at once.
type forwardPause struct {
	length int       // ticks of the current pause; zero if there is none
	ticks  int       // ticks until the next probe
	probe  *proposal // latest probe
}

// refuse records that the leader refused forwarded proposals, and reports whether a pause begins. Refusals of proposals
// that were sent before the current pause don't extend it.
func (f *forwardPause) refuse(proposals []*proposal) bool {
	switch {
	case f.length == 0:
		f.length = 1
	case f.probe != nil && slices.Contains(proposals, f.probe):
		f.length = min(2*f.length, maxPauseTicks)
	default:
		return false
	}
	f.ticks, f.probe = f.length, nil
	return true
}

// admit reports whether a proposal may be sent to the leader now. The next probe follows a probe without an answer after
// the same pause.
func (f *forwardPause) admit(p *proposal) bool {
	if f.length == 0 {
		return true
	}
	if f.ticks > 0 {
		return false
	}
	f.ticks, f.probe = f.length, p
	return true
}

// advance advances the pause by Raft ticks.
func (f *forwardPause) advance(ticks int) { f.ticks = max(0, f.ticks-ticks) }
