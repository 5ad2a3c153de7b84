package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCarriers is the number of carriers that are asked for one connection, and maxReserves that of carriers in reserve.
	maxCarriers = 3
	maxReserves = 2
	// maxCarrierWait bounds how long a request waits for a carrier.
	maxCarrierWait = 3 * time.Second
	// initialBackoff and maxBackoff bound the time for which a carrier that has not helped is not asked again; it doubles with each
	// failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// Carrier is another process of the system that can carry connections to endpoints.
type Carrier struct {
	// Address is the address for other processes of the system.
	Address string `cbor:"1,keyasint"`
	// Domain is the failure domain that the process is in.
	Domain string `cbor:"2,keyasint,omitempty"`
	// Reserve means that the process has other work, and is asked only if no other carrier is left.
	Reserve bool `cbor:"3,keyasint,omitempty"`
}

// Answer is what came of asking a carrier for a connection.
type Answer int

const (
	// Helped means that the carrier has connected to the endpoint, or has found it down.
	Helped Answer = iota
	// Unsure means that the carrier has not reached the endpoint, and may be cut off itself.
	Unsure
	// Declined means that the carrier is cut off, busy or stopping.
	Declined
	// NoAnswer means that the carrier did not answer in time.
	NoAnswer
)

// ShouldAwaitCarrier reports whether a request should wait while nobody can carry its connection, after it has failed to get one for some
// time. One that has not run is better refused, since another process may serve it at once; the caller of one that may have run could not
// ask again.
func ShouldAwaitCarrier(mayHaveRun bool, waited time.Duration) bool {
	return mayHaveRun && waited <= maxCarrierWait
}

// carrierState is a carrier and what came of asking it.
type carrierState struct {
	Carrier
	failures     int
	backoffUntil time.Time
	// declined is true if the carrier has said itself that it cannot help.
	declined bool
}

// carrierTable holds the processes that may carry connections.
type carrierTable struct {
	list []*carrierState
}

// set replaces the carriers, and keeps what is known of those that stay.
func (t *carrierTable) set(list []Carrier) {
	old := t.list
	t.list = make([]*carrierState, 0, len(list))
	for _, c := range list {
		s := &carrierState{Carrier: c}
		if i := slices.IndexFunc(old, func(s *carrierState) bool { return s.Carrier == c }); i >= 0 {
			s = old[i]
		}
		t.list = append(t.list, s)
	}
}

// has reports whether the process at the address is a carrier.
func (t *carrierTable) has(address string) bool { return t.find(address) != nil }

// find returns the carrier at the address, or nil.
func (t *carrierTable) find(address string) *carrierState {
	i := slices.IndexFunc(t.list, func(s *carrierState) bool { return s.Address == address })
	if i < 0 {
		return nil
	}
	return t.list[i]
}

// record records what came of asking a carrier.
func (t *carrierTable) record(address string, a Answer, now time.Time) {
	s := t.find(address)
	switch {
	case s == nil:
	case a == Helped:
		s.failures, s.backoffUntil, s.declined = 0, time.Time{}, false
	case a == Unsure:
		// Quiet processes are unsure of each endpoint that is down, which is no reason to leave them out for long.
		s.backoffUntil, s.declined = now.Add(initialBackoff), false
	case !now.Before(s.backoffUntil):
		// Connections that fail side by side count once.
		s.backoffUntil = now.Add(min(initialBackoff<<min(s.failures, 8), maxBackoff))
		s.failures++
		s.declined = a == Declined
	}
}

// choose returns the carriers to ask for one connection: one of the process's own failure domain, since traffic between domains may
// be dear, then one of another, since a whole domain may be cut off, and then any. The reserves are to be asked in turn if all of these fail.
// Only if all have failed lately, those are asked again that have not said themselves that they cannot help: a single late answer
// is no reason to refuse requests.
func (t *carrierTable) choose(domain string, r *rand.Rand, now time.Time) (out, reserves []string) {
	usable := t.usable(func(s *carrierState) bool { return !now.Before(s.backoffUntil) })
	if len(usable) == 0 {
		usable = t.usable(func(s *carrierState) bool { return !s.declined })
	}
	r.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	moveForward(usable, 0, func(s *carrierState) bool { return !s.Reserve && s.Domain == domain })
	moveForward(usable, 1, func(s *carrierState) bool { return !s.Reserve && s.Domain != domain })
	for _, s := range usable {
		switch {
		case s.Reserve && len(reserves) < maxReserves:
			reserves = append(reserves, s.Address)
		case !s.Reserve && len(out) < maxCarriers:
			out = append(out, s.Address)
		}
	}
	return out, reserves
}

// usable returns the carriers that the filter selects.
func (t *carrierTable) usable(filter func(s *carrierState) bool) []*carrierState {
	out := make([]*carrierState, 0, len(t.list))
	for _, s := range t.list {
		if filter(s) {
			out = append(out, s)
		}
	}
	return out
}

// moveForward moves the first carrier from the position on that the filter selects to that position.
func moveForward(list []*carrierState, position int, filter func(s *carrierState) bool) {
	if position >= len(list) {
		return
	}
	if i := slices.IndexFunc(list[position:], filter); i > 0 {
		list[position], list[position+i] = list[position+i], list[position]
	}
}
