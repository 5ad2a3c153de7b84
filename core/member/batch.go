package member

import "wasabiweir/core/table"

// MaxBatchReports is the largest number of routers whose reports one batch holds; it is above the target size of 320
// routers.
const MaxBatchReports = 1000

// ReportBatch collects the status reports of routers that a follower forwards to the leader, and keeps only the newest
// report of each router. It is not safe for concurrent use.
type ReportBatch struct {
	reports table.Table[string, RouterReport]
	dropped int
}

// Add puts a router's report into the batch and reports whether it is newer than the one of the same router in the
// batch. If the batch is full, a report of another router is dropped and counted; that router soon sends its next one.
func (b *ReportBatch) Add(r *RouterReport) bool {
	known := b.reports.Get(r.Name)
	if known != nil && !r.isNewerThan(known) {
		return false
	}
	if known == nil && b.reports.Len() >= MaxBatchReports {
		b.dropped++
		return false
	}
	b.reports.Put(r.Name, *r)
	return true
}

// Take returns the routers' reports in the order of router names and empties the batch.
func (b *ReportBatch) Take() []RouterReport {
	out := make([]RouterReport, 0, b.reports.Len())
	b.reports.Each(func(_ string, r *RouterReport) bool {
		out = append(out, *r)
		return true
	})
	b.reports = table.Table[string, RouterReport]{}
	return out
}

// Dropped returns the number of routers' reports that were dropped because the batch was full.
func (b *ReportBatch) Dropped() int { return b.dropped }
