package route

import (
	"time"
)

// LoadReport is the number of requests that an endpoint reports to have. It lags: the numbers are older than their
// arrival.
type LoadReport struct {
	// Running and Waiting are the numbers of running and queued requests on the endpoint.
	Running int
	Waiting int
	// At is the time at which the endpoint counted these requests.
	At time.Time
}

// PeerCounts is the message with which a router tells the other routers its work in flight and its queue lengths.
type PeerCounts struct {
	Router string `cbor:"router"`
	// Waiting is the number of queued requests on the router by service.
	Waiting map[string]int `cbor:"waiting"`
	// Loads is the router's work in flight by endpoint name.
	Loads map[string]Load `cbor:"loads"`
}

// peerCountsTTL is how long the counts of work that another router sent are used. Routers send counts four times in
// that period.
const peerCountsTTL = time.Second

// peerTimeout is how long after the last message with its counts of work another router is still assigned a partition
// of the endpoints (see Table.ResumeCost).
const peerTimeout = 10 * time.Second

// removeSilentPeers removes the other routers that have sent no counts of their work for peerTimeout.
func (t *Table) removeSilentPeers(now time.Time) {
	n := t.peers.Len()
	t.peers.Each(func(name string, p *receivedCounts) bool {
		if now.Sub(p.receivedAt) > peerTimeout {
			t.peers.Delete(name)
		}
		return true
	})
	if t.peers.Len() != n {
		t.updateRouterIndex()
	}
}

// reportTTL is how long an endpoint's load report is used.
const reportTTL = 5 * time.Second

// The history of this router's streams on an endpoint, which corrects lagging load reports, has historyLength samples
// at intervals of historyStep: 3.2 s.
const (
	historyStep   = 100 * time.Millisecond
	historyLength = 32
)

// receivedCounts is the latest PeerCounts message of another router.
type receivedCounts struct {
	waiting    map[string]int // queued requests by service
	receivedAt time.Time
	loads      map[string]Load // work in flight by endpoint name
}

// peerLoad is the estimated load that the other routers put on one endpoint.
type peerLoad struct {
	total      Load
	lastReport LoadReport
	// ownHistory is a ring buffer of past numbers of this router's streams on the endpoint; the newest is at
	// nextSlot-1.
	ownHistory [historyLength]int32
	nextSlot   int
	recorded   int // number of valid samples in ownHistory
}

// recordOwnStreams appends this router's current number of streams on the endpoint to the history.
func (p *peerLoad) recordOwnStreams(streams int) {
	p.ownHistory[p.nextSlot] = int32(streams)
	p.nextSlot = (p.nextSlot + 1) % historyLength
	p.recorded = min(p.recorded+1, historyLength)
}

// ownStreamsAt returns the number of streams that this router had on the endpoint at a past time, given the current
// number, or the oldest recorded number if the history does not reach back that far.
func (p *peerLoad) ownStreamsAt(past, now time.Time, current int) int {
	steps := int(now.Sub(past) / historyStep)
	if steps <= 0 || p.recorded == 0 {
		return current
	}
	steps = min(steps, p.recorded)
	return int(p.ownHistory[(p.nextSlot-steps+historyLength)%historyLength])
}

// RecordLoadReport records a load report of the endpoint with the name; it ignores unknown endpoints and outdated
// reports.
func (t *Table) RecordLoadReport(name string, r LoadReport) {
	e := t.byName.Get(name)
	if e == nil || r.At.Before(e.peerLoad.lastReport.At) {
		return
	}
	e.peerLoad.lastReport = r
	t.peerLoadsStale = true
}

// RecordPeerCounts records the work in flight and the queue lengths that another router has sent.
func (t *Table) RecordPeerCounts(c PeerCounts, now time.Time) {
	if t.peers.Get(c.Router) == nil {
		defer t.updateRouterIndex()
	}
	*t.peers.Ensure(c.Router) = receivedCounts{waiting: c.Waiting, receivedAt: now, loads: c.Loads}
	t.peerLoadsStale = true
}

// PeerCounts returns the message that tells the other routers this router's work in flight and queue lengths, given its
// name and its queue lengths by service.
func (t *Table) PeerCounts(router string, waiting map[string]int) PeerCounts {
	c := PeerCounts{Router: router, Waiting: waiting, Loads: make(map[string]Load)}
	for _, e := range t.ordered {
		if e.Own.Streams > 0 {
			c.Loads[e.Name] = e.Own
		}
	}
	return c
}

// updatePeerLoads recomputes the load of the other routers on each endpoint as the sum of their counts. If no router
// has sent counts, or those of a router are outdated, it instead uses the endpoint's load report, minus this router's
// streams at the time of the report, where that is higher.
func (t *Table) updatePeerLoads(now time.Time) {
	t.peerLoadsStale = false
	for _, e := range t.ordered {
		e.peerLoad.total = Load{}
	}
	countsMissing := t.peers.Len() == 0
	t.peers.Each(func(_ string, p *receivedCounts) bool {
		if now.Sub(p.receivedAt) > peerCountsTTL {
			countsMissing = true
			return true
		}
		for name, l := range p.loads {
			if e := t.byName.Get(name); e != nil {
				e.peerLoad.total.Streams += l.Streams
				e.peerLoad.total.Tokens += l.Tokens
			}
		}
		return true
	})
	if !countsMissing {
		return
	}
	mean := t.meanTokensLeft()
	for _, e := range t.ordered {
		r := e.peerLoad.lastReport
		if r.At.IsZero() || now.Sub(r.At) > reportTTL {
			continue
		}
		n := r.Running + r.Waiting - e.peerLoad.ownStreamsAt(r.At, now, e.Own.Streams)
		if n > e.peerLoad.total.Streams {
			e.peerLoad.total = Load{Streams: n, Tokens: float64(n) * mean}
		}
	}
}

// defaultTokensLeft is the assumed number of tokens still to be generated per stream while none is in flight.
const defaultTokensLeft = 256

// meanTokensLeft returns the mean predicted number of tokens still to be generated per stream of this router.
func (t *Table) meanTokensLeft() float64 {
	var l Load
	for _, e := range t.ordered {
		l.Streams += e.Own.Streams
		l.Tokens += e.Own.Tokens
	}
	if l.Streams == 0 {
		return defaultTokensLeft
	}
	return l.Tokens / float64(l.Streams)
}
