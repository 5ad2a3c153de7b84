package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCarriers is the number of carriers that are asked for one connection.
	maxCarriers = 3
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
}

// carrierState is a carrier and the failures to get a connection from it.
type carrierState struct {
	Carrier
	failures     int
	backoffUntil time.Time
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

// record records whether a carrier has helped.
func (t *carrierTable) record(address string, helped bool, now time.Time) {
	s := t.find(address)
	switch {
	case s == nil:
	case helped:
		s.failures, s.backoffUntil = 0, time.Time{}
	case !now.Before(s.backoffUntil):
		// Connections that fail side by side count once.
		s.backoffUntil = now.Add(min(initialBackoff<<min(s.failures, 8), maxBackoff))
		s.failures++
	}
}

// choose returns the carriers to ask for one connection: one of the process's own failure domain, since traffic between domains may
// be dear, and then any, since a whole domain may be cut off.
func (t *carrierTable) choose(domain string, r *rand.Rand, now time.Time) (out []string) {
	usable := make([]*carrierState, 0, len(t.list))
	for _, s := range t.list {
		if !now.Before(s.backoffUntil) {
			usable = append(usable, s)
		}
	}
	r.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if i := slices.IndexFunc(usable, func(s *carrierState) bool { return s.Domain == domain }); i > 0 {
		usable[0], usable[i] = usable[i], usable[0]
	}
	for _, s := range usable[:min(len(usable), maxCarriers)] {
		out = append(out, s.Address)
	}
	return out
}
