package itest

import (
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against streams that pause for more than 4 s when all engines of a failure domain fail at once and the
// prefills of their streams take seconds of the remaining engines' time.
func TestDomainLoss(t *testing.T) {
	t.Parallel()
	const generations, words = 90, 400
	s := newSystem(t, systemSpec{controls: 1, routers: 3, engines: 9, engineArgs: []string{
		"-tokens-per-second", strconv.Itoa(tokenRate), "-slots", "64", "-prefill-tokens-per-second", "4000", "-batch-slowdown", "0.005",
	}})
	domain := []int{0, 3, 6}
	for _, x := range []struct {
		name   string
		inject func(p *process)
		repair func(p *process)
	}{
		{"killed", (*process).kill, (*process).launch},
		{"stopped", func(p *process) { p.signal(syscall.SIGSTOP) }, func(p *process) { p.signal(syscall.SIGCONT) }},
	} {
		c := newWorkload(s)
		for i := range generations {
			c.promptPrefix = x.name + strconv.Itoa(i) + strings.Repeat(" tooth"+strconv.Itoa(i), words)
			c.startGeneration(i, 150)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		lost, _ := s.lostAttempts()
		s.forEngines(domain, x.inject)()
		c.verifyGenerations(generations)
		c.verifyMaxGap()
		after, _ := s.lostAttempts()
		gaps := c.longestGaps()
		t.Logf("domain %s: %d attempts lost, longest gap p50 %s, p90 %s, max %s", x.name, after-lost, quantile(gaps, 0.5), quantile(gaps, 0.9), quantile(gaps, 1))
		s.forEngines(domain, x.repair)()
		eventually(t, startTimeout, func() error { return s.checkAllServing() })
	}
}
