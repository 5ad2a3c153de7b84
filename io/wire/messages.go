package wire

import (
	"wasabiweir/core/member"
	"wasabiweir/core/object"
)

// Report is what a router tells control about itself, on connecting and each second.
type Report struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is drawn at each start of the router.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the address for callers and PeerAddress the one for the system's processes.
	Address     string `cbor:"3,keyasint"`
	PeerAddress string `cbor:"4,keyasint"`
	Domain      string `cbor:"5,keyasint"`
	// Revision and Digest are those that the router has in force.
	Revision uint64        `cbor:"6,keyasint"`
	Digest   object.Digest `cbor:"7,keyasint"`
	Fresh    bool          `cbor:"8,keyasint"`
	Draining bool          `cbor:"9,keyasint"`
	InFlight int           `cbor:"10,keyasint"`
	// AgeMS is the time since the report reached control, in milliseconds; only control members set it.
	AgeMS int64 `cbor:"11,keyasint,omitempty"`
	// Demand is the amount of tokens that client accounts have lately asked for on the router.
	Demand map[string]float64 `cbor:"12,keyasint,omitempty"`
	// Endpoints is what the router observes of the endpoints' health, between 0 and 1.
	Endpoints map[string]float64 `cbor:"13,keyasint,omitempty"`
	// SentMS is the router's clock in Unix milliseconds; it rises with each report.
	SentMS int64 `cbor:"14,keyasint,omitempty"`
	// Held and Floor are the newest shares of the router.
	Held  member.ShareID `cbor:"15,keyasint"`
	Floor int64          `cbor:"16,keyasint,omitempty"`
}

// Member returns what the instance table and the division of account limits use of the report.
func (r *Report) Member() *member.Report {
	return &member.Report{
		Name: r.Name, Incarnation: r.Incarnation, SentMS: r.SentMS, Address: r.Address, Peer: r.PeerAddress,
		Domain: r.Domain, Revision: r.Revision, Digest: r.Digest, Fresh: r.Fresh, Draining: r.Draining,
		Demand: r.Demand, Held: r.Held, Floor: r.Floor,
	}
}

// Position asks for updates from a revision on; the zero position asks for a whole configuration.
type Position struct {
	Revision uint64        `cbor:"1,keyasint"`
	Digest   object.Digest `cbor:"2,keyasint"`
}

// Routers is the list of live routers that control sends to each router when it changes.
type Routers struct {
	List []Report `cbor:"1,keyasint"`
	// Leaving are the endpoints that the platform's instance list shows as leaving.
	Leaving []string `cbor:"2,keyasint,omitempty"`
}

// State tells a relay which state is in force at a keeper.
type State struct {
	Version uint64 `cbor:"1,keyasint"`
	// Any is false while no state was ever put.
	Any bool `cbor:"2,keyasint,omitempty"`
	// Document is empty if the relay has the version.
	Document []byte `cbor:"3,keyasint,omitempty"`
}

// Keepers is what a keeper tells relays about the system.
type Keepers struct {
	// Addresses are the peer addresses of the keepers.
	Addresses []string `cbor:"1,keyasint"`
	// Relays are the addresses of the relays that callers may use, in order.
	Relays []string `cbor:"2,keyasint"`
}
