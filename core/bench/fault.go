package bench

import "time"

// fault is a failure, or its repair, that a scenario schedules at a time from the start of the run.
type fault struct {
	at    time.Duration
	apply func(s *sim)
}

// scheduleFaults adds the faults to the run.
func (s *sim) scheduleFaults(list []fault) *sim {
	for _, f := range list {
		s.after(f.at, func() { f.apply(s) })
	}
	return s
}

// markInterrupted records that the streams in flight on the engine are interrupted now, by the kind of interruption.
func (s *sim) markInterrupted(e *engine, kind string) {
	for _, r := range s.routers {
		for _, a := range r.openAttempts {
			j := a.job
			if a.engine != e || a.ended || j.received == 0 || j.interruption != "" {
				continue
			}
			j.interruptedAt, j.interruption = s.now, kind
		}
	}
}

// resetEngine makes the engine reset its connections, refuse new ones and restart later.
func resetEngine(i int, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) {
			s.markInterrupted(s.engines[i], interruptionReset)
			s.engines[i].fail(true)
		}},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].restore() }},
	}
}

// hangEngine makes the engine stop answering without a reset and restart later.
func hangEngine(i int, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) {
			s.markInterrupted(s.engines[i], interruptionSilent)
			s.engines[i].fail(false)
		}},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].restore() }},
	}
}

// silenceEngine makes the engine's open connections silent; new ones work.
func silenceEngine(i int, at time.Duration) []fault {
	return []fault{{at: at, apply: func(s *sim) {
		s.markInterrupted(s.engines[i], interruptionSilent)
		s.engines[i].silenceConnections()
	}}}
}

// failDomain makes all engines of a failure domain stop answering without a reset and restart later.
func failDomain(domain int, at, restoreAt time.Duration) []fault {
	each := func(s *sim, do func(e *engine)) {
		for i, e := range s.engines {
			if i%len(s.deployment.domains) == domain {
				do(e)
			}
		}
	}
	return []fault{
		{at: at, apply: func(s *sim) {
			each(s, func(e *engine) {
				s.markInterrupted(e, interruptionDomain)
				e.fail(false)
			})
		}},
		{at: restoreAt, apply: func(s *sim) { each(s, (*engine).restore) }},
	}
}

// slowEngine makes the engine slower by the factor until the time restoreAt.
func slowEngine(i int, factor float64, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) { s.engines[i].slowdown = factor }},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].slowdown = 1 }},
	}
}
