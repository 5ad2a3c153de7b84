package place

import "time"

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
	Endpoints []Endpoint `cbor:"1,keyasint"`
	// Reader is the process that read the list, and Number counts its readings.
	Reader string `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// Age is how long ago the reading began, at the time of sending.
	Age time.Duration `cbor:"4,keyasint"`
}
