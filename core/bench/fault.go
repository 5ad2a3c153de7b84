package bench

import "time"

// fault is a failure of simulated engines, or its repair, that a scenario schedules at a time from the start of the
// run.
type fault struct {
	at    time.Duration
	apply func(s *sim)
}

// scheduleFaults schedules the faults of engines in the simulated run.
func (s *sim) scheduleFaults(list []fault) *sim {
	for _, f := range list {
		s.scheduleAfter(f.at, func() { f.apply(s) })
	}
	return s
}

// markStreamsInterrupted records that the streams in flight on the engine are interrupted now, and the kind of the
// interruption.
func (s *sim) markStreamsInterrupted(e *engine, kind string) {
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

// resetEngineFaults returns the faults that make the engine reset its connections and refuse new ones at one time, and
// restart at a later one.
func resetEngineFaults(i int, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) {
			s.markStreamsInterrupted(s.engines[i], interruptionReset)
			s.engines[i].failEngine(true)
		}},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].restoreEngine() }},
	}
}

// hangEngineFaults returns the faults that make the engine stop answering, without a reset, at one time and restart at
// a later one.
func hangEngineFaults(i int, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) {
			s.markStreamsInterrupted(s.engines[i], interruptionSilent)
			s.engines[i].failEngine(false)
		}},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].restoreEngine() }},
	}
}

// silenceEngineFaults returns the fault that makes the engine's open connections silent; new ones work.
func silenceEngineFaults(i int, at time.Duration) []fault {
	return []fault{{at: at, apply: func(s *sim) {
		s.markStreamsInterrupted(s.engines[i], interruptionSilent)
		s.engines[i].silenceConnections()
	}}}
}

// failDomainFaults returns the faults that make all engines of a failure domain stop answering, without a reset, at
// one time and restart at a later one.
func failDomainFaults(domain int, at, restoreAt time.Duration) []fault {
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
				s.markStreamsInterrupted(e, interruptionDomain)
				e.failEngine(false)
			})
		}},
		{at: restoreAt, apply: func(s *sim) { each(s, (*engine).restoreEngine) }},
	}
}

// slowEngineFaults returns the faults that make the engine slower by the factor until the time restoreAt.
func slowEngineFaults(i int, factor float64, at, restoreAt time.Duration) []fault {
	return []fault{
		{at: at, apply: func(s *sim) { s.engines[i].slowdown = factor }},
		{at: restoreAt, apply: func(s *sim) { s.engines[i].slowdown = 1 }},
	}
}
