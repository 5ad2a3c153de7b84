package router

import (
	"encoding/binary"
	"math"

	"wasabiweir/core/route"
)

// packedCounts is the compact wire format of a router's in-flight counts. Endpoints are identified by their index in
// the sorted endpoint names of one configuration revision. With names and floating-point numbers, the exchange
// between 8 routers with 36 engines took 32 KB/s per router, and the limit for control traffic is 7 KB/s.
type packedCounts struct {
	Router   string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Waiting holds the number of queued requests of each service that has any.
	Waiting map[string]int `cbor:"3,keyasint,omitempty"`
	// Loads holds three varints for each endpoint with work in flight: the difference of its index in the sorted
	// endpoint names to that of the endpoint before, its number of running streams, and its tokens in units of
	// loadTokenUnit.
	Loads []byte `cbor:"4,keyasint,omitempty"`
}

// loadTokenUnit is the number of tokens in one unit of packedCounts.Loads. A stream's work is an estimate of hundreds
// of tokens, so that rounding to 16 loses nothing of use.
const loadTokenUnit = 16

// packCounts returns the wire format of a router's in-flight counts, with the endpoint indices of this configuration
// revision.
func (v *ConfigView) packCounts(c route.PeerCounts) packedCounts {
	p := packedCounts{Router: c.Router, Revision: v.Revision, Waiting: map[string]int{}}
	for service, n := range c.Waiting {
		if n > 0 {
			p.Waiting[service] = n
		}
	}
	lastIndex := 0
	for i, name := range v.endpointNames {
		l, ok := c.Loads[name]
		if !ok || l.Streams <= 0 {
			continue
		}
		p.Loads = binary.AppendUvarint(p.Loads, uint64(i-lastIndex))
		p.Loads = binary.AppendUvarint(p.Loads, uint64(l.Streams))
		p.Loads = binary.AppendUvarint(p.Loads, uint64(math.Round(max(0, l.Tokens)/loadTokenUnit)))
		lastIndex = i
	}
	return p
}

// unpackCounts decodes another router's in-flight counts. It returns false if they refer to another configuration
// revision or are malformed.
func (v *ConfigView) unpackCounts(p packedCounts) (route.PeerCounts, bool) {
	if p.Revision != v.Revision {
		return route.PeerCounts{}, false
	}
	c := route.PeerCounts{Router: p.Router, Waiting: p.Waiting, Loads: map[string]route.Load{}}
	endpointIndex := uint64(0)
	for rest := p.Loads; len(rest) > 0; {
		var values [valuesPerLoad]uint64
		for i := range values {
			value, n := binary.Uvarint(rest)
			if n <= 0 {
				return route.PeerCounts{}, false
			}
			values[i] = value
			rest = rest[n:]
		}
		endpointIndex += values[0]
		if endpointIndex >= uint64(len(v.endpointNames)) {
			return route.PeerCounts{}, false
		}
		c.Loads[v.endpointNames[endpointIndex]] = route.Load{Streams: int(values[1]), Tokens: float64(values[2] * loadTokenUnit)}
	}
	return c, true
}

// valuesPerLoad is the number of varints of one endpoint in packedCounts.Loads.
const valuesPerLoad = 3
