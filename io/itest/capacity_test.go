package itest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wasabiweir/io/load"
)

// resourceUse returns the total processor time and resident size in MB of the processes.
func resourceUsage(list []*process) (cpu time.Duration, mb int) {
	for _, p := range list {
		resident, _ := p.memory()
		cpu += p.cpuTime()
		mb += resident
	}
	return cpu, mb
}

// BenchmarkRouters measures the processor time and memory that routers use for generations at several rates; the
// slopes derived from it are in docs/CAPACITY.md.
func BenchmarkRouters(b *testing.B) {
	for _, rate := range []float64{20, 60, 120} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			s := newSystem(b, systemSpec{controls: 1, routers: 3, engines: 6, engineArgs: []string{
				"-tokens-per-second", "60", "-slots", "256", "-batch-slowdown", "0.0005", "-prefill-tokens-per-second", "100000",
			}})
			before, _ := resourceUsage(s.routers)
			l := &load.Runner{
				Workload: load.Workload{
					Seed: 1, Duration: 15 * time.Second, Rate: rate, ShortTokens: 150, PromptWords: 40,
					Accounts: []load.Account{{Name: "vets", Token: accountToken}},
				},
				Routers: s.routerAddresses, Model: "dente",
			}
			start := time.Now()
			r, err := l.Run(context.Background())
			if err != nil || !r.OK() {
				b.Fatalf("load: %v, %d violations", err, r.ViolationCount)
			}
			after, mb := resourceUsage(s.routers)
			tokens := r.Groups["short"].Tokens
			b.ReportMetric(float64((after-before).Microseconds())/float64(tokens), "cpu-us/token")
			b.ReportMetric(float64(tokens)/time.Since(start).Seconds(), "tokens/s")
			b.ReportMetric(float64(mb)/float64(len(s.routers)), "MB/router")
			b.ReportMetric(r.Groups["short"].FirstToken.P95MS, "first-token-p95-ms")
			b.ReportMetric(r.Groups["short"].TokenGap.P95MS, "token-gap-p95-ms")
		})
	}
}
