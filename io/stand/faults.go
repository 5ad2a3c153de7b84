package stand

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/token"
	"wasabiweir/io/serve"
)

// codeDraining is the error code with which a simulated engine that is draining refuses new work.
const codeDraining = "draining"

// hangTokens is the number of tokens that an engine generates for a prompt on which it hangs.
const hangTokens = 3

// pausePollInterval is the interval at which a simulated engine that a fault has paused checks whether the pause has
// ended.
const pausePollInterval = 2 * time.Millisecond

// Faults is the body of POST /faults of a simulated engine. It replaces all active faults, so an empty body clears
// them.
type Faults struct {
	// DieAfterTokens kills the engine after it has generated this many more tokens; zero means never.
	DieAfterTokens int `json:"die-after-tokens,omitempty"`
	// Die kills the engine immediately.
	Die bool `json:"die,omitempty"`
	// DieOnWord kills the engine when it has processed a prompt that contains the word.
	DieOnWord string `json:"die-on-word,omitempty"`
	// HangOnWord pauses the whole engine for good when it has begun to answer a prompt that contains the word.
	HangOnWord string `json:"hang-on-word,omitempty"`
	// PauseMS pauses the whole engine for this many milliseconds; a negative value means until the faults are replaced.
	PauseMS int64 `json:"pause-ms,omitempty"`
	// Silent makes all other open connections drop their traffic until they are closed; new connections work normally.
	Silent bool `json:"silent,omitempty"`
	// Slow multiplies the duration of each batch step; zero means 1.
	Slow float64 `json:"slow,omitempty"`
	// Refuse makes the engine refuse new requests with the error code draining.
	Refuse bool `json:"refuse,omitempty"`
	// ForMS ends Slow and Refuse after this many milliseconds; zero means that they stay until the faults are replaced.
	ForMS int64 `json:"for-ms,omitempty"`
}

// activeFaults holds the injected faults that are in effect in a simulated engine.
type activeFaults struct {
	tokensUntilDeath int      // zero means that the engine does not die
	deadlyTokens     []uint32 // tokens of the word on which the engine dies
	hangingTokens    []uint32 // tokens of the word on which the engine hangs
	pausedUntil      time.Time
	slowFactor       float64
	refuseWork       bool
	expiresAt        time.Time // end of slowFactor and refuseWork; zero means none
}

// replaceFaults replaces the engine's active faults by those of a request. An unlimited pause is stored as one of a
// year.
func (s *activeFaults) replaceFaults(now time.Time, f Faults) {
	*s = activeFaults{tokensUntilDeath: f.DieAfterTokens, slowFactor: f.Slow, refuseWork: f.Refuse}
	s.deadlyTokens, s.hangingTokens = wordTokens(f.DieOnWord), wordTokens(f.HangOnWord)
	if f.ForMS > 0 {
		s.expiresAt = now.Add(time.Duration(f.ForMS) * time.Millisecond)
	}
	switch {
	case f.PauseMS > 0:
		s.pausedUntil = now.Add(time.Duration(f.PauseMS) * time.Millisecond)
	case f.PauseMS < 0:
		s.hang(now)
	}
}

// hang pauses the engine for good.
func (s *activeFaults) hang(now time.Time) { s.pausedUntil = now.AddDate(1, 0, 0) }

// wordTokens returns the tokens of a word in the middle of a prompt; none if it is empty.
func wordTokens(word string) []uint32 {
	if word == "" {
		return nil
	}
	// A token includes the space before its word.
	return token.Tokenize(" " + word)
}

// haveExpired reports whether the time limit of the faults slowFactor and refuseWork has passed.
func (s *activeFaults) haveExpired(now time.Time) bool {
	return !s.expiresAt.IsZero() && !now.Before(s.expiresAt)
}

// stepFactor returns the factor by which the active faults multiply the duration of a batch step.
func (s *activeFaults) stepFactor(now time.Time) float64 {
	if s.slowFactor <= 0 || s.haveExpired(now) {
		return 1
	}
	return s.slowFactor
}

// countToken counts a generated token and returns true if an injected fault must kill the engine after it.
func (s *activeFaults) countToken() bool {
	if s.tokensUntilDeath == 0 {
		return false
	}
	s.tokensUntilDeath--
	return s.tokensUntilDeath == 0
}

// containsTokens reports whether the prompt contains the tokens of a word; it does not if there are none.
func containsTokens(prompt, word []uint32) bool {
	n := len(word)
	for i := 0; n > 0 && i+n <= len(prompt); i++ {
		if slices.Equal(prompt[i:i+n], word) {
			return true
		}
	}
	return false
}

// refusesWork reports whether a fault makes the engine refuse new requests.
func (e *Engine) refusesWork() bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.activeFaults.refuseWork && !e.activeFaults.haveExpired(e.Clock.Now())
}

// waitWhilePaused blocks while the engine is paused. It returns false if ctx has ended.
func (e *Engine) waitWhilePaused(ctx context.Context) bool {
	for {
		e.engineMu.Lock()
		paused := e.Clock.Now().Before(e.activeFaults.pausedUntil)
		e.engineMu.Unlock()
		if !paused {
			return ctx.Err() == nil
		}
		if !serve.Sleep(ctx, pausePollInterval) {
			return false
		}
	}
}

// handleFaults handles POST /faults: it replaces the engine's active faults by those in the request.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	e.Log.Info("faults-replaced", zap.Any("faults", f))
	e.engineMu.Lock()
	e.activeFaults.replaceFaults(e.Clock.Now(), f)
	e.engineMu.Unlock()
	if f.Silent {
		e.silenceOtherConnections(r)
	}
	if f.Die {
		_ = e.die() // Run reports the death: the closed listener makes it return ErrDied
		return
	}
	writeJSON(w, http.StatusOK, f)
}

// die simulates the sudden death of the engine: it calls Exit, if it is set, to end the process, and resets all
// connections. It returns ErrDied.
func (e *Engine) die() error {
	e.Log.Warn("engine-killed")
	e.engineMu.Lock()
	e.died = true
	e.engineMu.Unlock()
	if e.Exit != nil {
		e.Exit(1)
	}
	e.resetConnections()
	return ErrDied
}
