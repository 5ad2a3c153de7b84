package repl

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proposalBytes is the size of a benchmark proposal, about the size of a ledger record.
const proposalBytes = 256

// BenchmarkCommit measures the throughput and latency of proposals on the leader of a group of three members in one
// process, which sync their files.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newGroup(b, DefaultInterval)
			g.snapshotEvery = DefaultSnapshotEvery
			g.start("a", "b", "c")
			leader := g.leader()
			g.propose(leader, "first")
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var done sync.WaitGroup
			latencies := make([][]time.Duration, proposers)
			data := make([]byte, proposalBytes)
			b.ResetTimer()
			for i := range latencies {
				done.Go(func() {
					for remaining.Add(-1) >= 0 {
						start := time.Now()
						if _, _, err := leader.Propose(context.Background(), data); err != nil {
							b.Error(err)
						}
						latencies[i] = append(latencies[i], time.Since(start))
					}
				})
			}
			done.Wait()
			b.StopTimer()
			sorted := slices.Concat(latencies...)
			slices.Sort(sorted)
			b.ReportMetric(float64(len(sorted))/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}
