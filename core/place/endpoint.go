package place

import (
	"fmt"
	"hash/fnv"
	"time"
)

// Endpoint is one entry of the platform's list.
type Endpoint struct {
	// ID identifies one start of an endpoint; an address may later belong to another one.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Domain  string `cbor:"4,keyasint"`
	// Draining says that it takes no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that it runs at once.
	Slots int `cbor:"6,keyasint,omitempty"`
}

// List is one reading of the platform's list.
type List struct {
	// Endpoints is empty if the receiver was sent the same content before.
	Endpoints []Endpoint `cbor:"1,keyasint,omitempty"`
	// Content identifies the endpoints and their states.
	Content uint64 `cbor:"2,keyasint"`
	// Age is how long ago the reading began, at the time of sending.
	Age time.Duration `cbor:"3,keyasint"`
}

// NewList returns a reading that began the age ago.
func NewList(endpoints []Endpoint, age time.Duration) List {
	h := fnv.New64a()
	for i := range endpoints {
		e := &endpoints[i]
		fmt.Fprintf(h, "%q %q %q %q %v %d\n", e.ID, e.Service, e.Address, e.Domain, e.Draining, e.Slots)
	}
	return List{Endpoints: endpoints, Content: h.Sum64(), Age: age}
}

// Without returns the list without its endpoints, for a receiver that has the content.
func (l List) Without() List { return List{Content: l.Content, Age: l.Age} }
