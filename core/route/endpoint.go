package route

import "time"

// EndpointSpec is the configuration of one endpoint of a service.
type EndpointSpec struct {
	Name    string
	Service string
	// Address is the IP address and the port at which the endpoint receives requests.
	Address string
	// Domain is the endpoint's failure domain.
	Domain string
	// Slots is the number of requests that the endpoint runs concurrently; zero means DefaultSlots.
	Slots int
	// Leaving says that the endpoint is being drained and receives no new requests.
	Leaving bool
	// Software is the declared software version, which counts while the endpoint reports none; empty means unknown.
	Software string
}

// DefaultSlots is the number of slots of an endpoint whose configuration sets none.
const DefaultSlots = 32

// Load is the amount of work in flight on an endpoint: its requests and their remaining output tokens.
type Load struct {
	// Streams is the number of requests in flight on the endpoint.
	Streams int `cbor:"streams"`
	// Tokens is the predicted number of output tokens that these requests still generate.
	Tokens float64 `cbor:"tokens"`
}

// Endpoint is a configured endpoint and its state as this router knows it.
type Endpoint struct {
	EndpointSpec

	// Own is this router's work in flight on the endpoint; unlike that of other routers, its count of streams is always
	// exact.
	Own Load
	// PendingPrefill is the number of uncached prompt tokens of this router's streams that have not generated a token
	// yet.
	PendingPrefill int

	listIndex       int  // index of the endpoint in Table.ordered
	removed         bool // no longer configured, but streams are still in flight
	reportedLeaving bool // leaving (being drained) by its own announcement or by the instance list
	// dedicated says that the endpoint serves only short requests while there are any.
	dedicated bool
	peerLoad  peerLoad
	health    healthTracker
	backoff   failureBackoff
	// pausedUntil is the end of the pause that the endpoint has asked for.
	pausedUntil time.Time
	// trialAt is when a stream was last moved here to find out whether the endpoint is sound.
	trialAt time.Time
	// lastSign is when the last token arrived, and quietEnd when the last one arrived after the endpoint had been quiet.
	lastSign time.Time
	quietEnd time.Time
	// skippedQuiet is the quietEnd whose times to the first token were not used as measures of prefill; zero if one was used since.
	skippedQuiet time.Time
	cachedBlocks cachedBlocks
	// streams holds this router's streams on the endpoint in no particular order; Stream.endpointIndex is the index.
	streams []*Stream
	// reportedSoftware is the software version that the endpoint reports; it may be empty. softwareReported is true once
	// it has been asked.
	reportedSoftware string
	softwareReported bool
	// models is the set of models and adapters that the endpoint serves; nil means unknown.
	models NameSet
}

// Health returns the endpoint's health score, which is above 0 and at most 1. An endpoint has health 1 when its time
// between tokens is close to the median of all endpoints or below it.
func (e *Endpoint) Health() float64 { return e.health.score }

// TokenGap returns the smoothed time between tokens of a stream, or zero if no token has arrived recently.
func (e *Endpoint) TokenGap() time.Duration {
	return time.Duration(e.health.smoothedGap * float64(time.Second))
}

// Unavailable reports whether the endpoint must not receive new requests, because it is leaving or no longer
// configured.
func (e *Endpoint) Unavailable() bool { return e.Leaving || e.closed() }

// closed reports whether the endpoint is no longer configured or leaving by its own announcement or the instance list, so that it
// would refuse also the rest of a generation.
func (e *Endpoint) closed() bool { return e.reportedLeaving || e.removed }

// Streams returns the predicted number of requests in flight on the endpoint from all routers.
func (e *Endpoint) Streams() int { return e.Own.Streams + e.peerLoad.total.Streams }

// Tokens returns the predicted number of tokens still to be generated on the endpoint for all routers.
func (e *Endpoint) Tokens() float64 { return e.Own.Tokens + e.peerLoad.total.Tokens }

// ReportedRequests returns the number of running and waiting requests in the endpoint's last load report, without
// correction.
func (e *Endpoint) ReportedRequests() int {
	return e.peerLoad.lastReport.Running + e.peerLoad.lastReport.Waiting
}

// Slowed reports whether the endpoint generates tokens so slowly that its streams should be moved to other endpoints.
func (e *Endpoint) Slowed() bool { return e.health.slowed }

// slotCount returns the number of requests that the endpoint runs concurrently.
func (e *Endpoint) slotCount() int {
	if e.Slots <= 0 {
		return DefaultSlots
	}
	return e.Slots
}

// addStream registers a stream of this router that is in flight on the endpoint.
func (e *Endpoint) addStream(s *Stream) {
	s.endpointIndex = len(e.streams)
	e.streams = append(e.streams, s)
	e.Own.Streams++
	e.Own.Tokens += s.tokensLeft()
	e.PendingPrefill += s.pendingPrefill()
}

// removeStream unregisters a stream of this router that has ended or failed on the endpoint.
func (e *Endpoint) removeStream(s *Stream) {
	last := len(e.streams) - 1
	e.streams[s.endpointIndex] = e.streams[last]
	e.streams[s.endpointIndex].endpointIndex = s.endpointIndex
	e.streams[last] = nil
	e.streams = e.streams[:last]
	e.Own.Streams--
	e.Own.Tokens -= s.tokensLeft()
	e.PendingPrefill -= s.pendingPrefill()
	if e.Own.Streams == 0 {
		e.Own.Tokens = 0
	}
}

// smoothedRatio is the ratio of two exponentially decaying sums.
type smoothedRatio struct{ numerator, denominator float64 }

// ratioDecay is the factor by which each new sample reduces the weight of older ones; about the last ten samples
// determine the ratio.
const ratioDecay = 0.9

// addSample adds one sample to the decaying sums of the numerator and of the denominator.
func (r *smoothedRatio) addSample(numerator, denominator float64) {
	r.numerator = r.numerator*ratioDecay + numerator
	r.denominator = r.denominator*ratioDecay + denominator
}

// value returns the smoothed ratio, or the initial value if there are no samples.
func (r *smoothedRatio) value(initial float64) float64 {
	if r.denominator <= 0 {
		return initial
	}
	return r.numerator / r.denominator
}
