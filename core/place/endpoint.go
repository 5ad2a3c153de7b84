package place

import (
	"fmt"
	"hash/fnv"
	"time"
)

// Endpoint is one entry of the platform's endpoint list: a model engine or a process of a plain service.
type Endpoint struct {
	// ID identifies one run of an endpoint process; its address may later be used by another endpoint.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Domain is the failure domain of the endpoint.
	Domain string `cbor:"4,keyasint"`
	// Draining means that the endpoint accepts no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Version is the version of the endpoint's software. What two versions generate for one request does not fit together.
	Version string `cbor:"7,keyasint,omitempty"`
}

// EndpointList is the platform's endpoint list as it was read at one time.
type EndpointList struct {
	// Endpoints is empty if the receiver has already been sent a list with the same ContentHash.
	Endpoints []Endpoint `cbor:"1,keyasint,omitempty"`
	// ContentHash is a hash of all fields of the endpoints.
	ContentHash uint64 `cbor:"2,keyasint"`
	// Age is the time from the start of the read of the list from the platform to the sending of the list.
	Age time.Duration `cbor:"3,keyasint"`
}

// NewList returns a list of the endpoints, whose read from the platform began the given age ago, with the hash of its
// content.
func NewList(endpoints []Endpoint, age time.Duration) EndpointList {
	h := fnv.New64a()
	for i := range endpoints {
		e := &endpoints[i]
		fmt.Fprintf(h, "%q %q %q %q %v %d %q\n", e.ID, e.Service, e.Address, e.Domain, e.Draining, e.Slots, e.Version)
	}
	return EndpointList{Endpoints: endpoints, ContentHash: h.Sum64(), Age: age}
}

// WithoutEndpoints returns the list with its content hash but no endpoints, for a receiver that already has them.
func (l EndpointList) WithoutEndpoints() EndpointList {
	return EndpointList{ContentHash: l.ContentHash, Age: l.Age}
}
