package wire

import (
	"wasabiweir/core/member"
	"wasabiweir/core/object"
	"wasabiweir/core/origin"
	"wasabiweir/core/place"
	"wasabiweir/core/reach"
)

// Report describes the state of a router or relay. Routers send it to a control process and relays to a keeper, on
// connecting and regularly after that; some fields are only set by routers.
type Report struct {
	// Name is the instance name of the sender.
	Name string `cbor:"1,keyasint"`
	// Incarnation identifies one run of the sender's process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the address to which callers connect.
	Address string `cbor:"3,keyasint"`
	// PeerAddress is the address to which other processes of the system open links.
	PeerAddress string `cbor:"4,keyasint"`
	// Domain is the failure domain of the sender.
	Domain string `cbor:"5,keyasint"`
	// Revision is the revision of the configuration that a router has applied, or the version of the state, the
	// configuration of the relays, that a relay has applied.
	Revision uint64 `cbor:"6,keyasint"`
	// Digest is the digest of the configuration that a router has applied.
	Digest object.Digest `cbor:"7,keyasint"`
	// Fresh is set if the sender has recently confirmed that its configuration is current.
	Fresh bool `cbor:"8,keyasint"`
	// Draining is set if the router or relay that sends the report accepts no new requests.
	Draining bool `cbor:"9,keyasint"`
	// InFlight is the number of requests that the sender is handling.
	InFlight int `cbor:"10,keyasint"`
	// AgeMS is the time since a control process received the report, in milliseconds; only control processes set it.
	AgeMS int64 `cbor:"11,keyasint,omitempty"`
	// Demand is the rate in tokens per second that client accounts have lately requested on the router, by account.
	Demand map[string]float64 `cbor:"12,keyasint,omitempty"`
	// Endpoints is the health of endpoints as the router observes it, between 0 and 1, by endpoint.
	Endpoints map[string]float64 `cbor:"13,keyasint,omitempty"`
	// SentMS is the time at which the report was sent, in milliseconds: Unix time for routers, time since the start for
	// relays. It increases with each report.
	SentMS int64 `cbor:"14,keyasint,omitempty"`
	// ShareID identifies the newest message with the router's shares of the account limits that the router has received.
	ShareID member.AccountShareID `cbor:"15,keyasint"`
	// ShareFloor is the part of each account limit that the router may use without a lease, in millionths of the limit.
	ShareFloor int64 `cbor:"16,keyasint,omitempty"`
	// CutOff is set if the sender reaches no endpoint itself.
	CutOff bool `cbor:"17,keyasint,omitempty"`
	// AsksRetries is set if a relay asks for retry grants beyond its own part of the retry budgets. RetryUses holds what it has counted.
	AsksRetries bool             `cbor:"18,keyasint,omitempty"`
	RetryUses   []place.RetryUse `cbor:"19,keyasint,omitempty"`
}

// MemberReport returns the fields of the report that the table of instances and the division of the account limits use.
func (r *Report) MemberReport() *member.RouterReport {
	return &member.RouterReport{
		Name: r.Name, Incarnation: r.Incarnation, SentMS: r.SentMS, Address: r.Address, Peer: r.PeerAddress,
		Domain: r.Domain, Revision: r.Revision, Digest: r.Digest, Fresh: r.Fresh, Draining: r.Draining,
		Demand: r.Demand, ShareID: r.ShareID, ShareFloor: r.ShareFloor, CutOff: r.CutOff,
	}
}

// ConfigUpdateRequest requests the newer configuration: a router sends it to a control process, and a relay to a
// keeper. The zero ConfigUpdateRequest requests the whole configuration.
type ConfigUpdateRequest struct {
	// Revision is the latest revision of the configuration that a router has, or the latest version of the state that a
	// relay has.
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the sender's configuration at that revision.
	Digest object.Digest `cbor:"2,keyasint"`
	// HasState means that the sender has a configuration, which may have the version 0.
	HasState bool `cbor:"4,keyasint,omitempty"`
	// OnlyConfirm asks whether a quorum confirms the keeper's state, without its content and without a subscription to
	// what the keeper sends to relays.
	OnlyConfirm bool `cbor:"3,keyasint,omitempty"`
}

// Routers is the list of live routers; a control process sends it to each router when it changes.
type Routers struct {
	// Reports contains the latest report of each live router.
	Reports []Report `cbor:"1,keyasint"`
	// Leaving holds the names of the endpoints that the platform's instance list shows as leaving.
	Leaving []string `cbor:"2,keyasint,omitempty"`
}

// ConfigState is a keeper's message to a relay with the current configuration of the relays, which is called a state,
// or only with its version if the relay has it.
type ConfigState struct {
	// Version is the version of the state; a state with a higher version replaces one with a lower version.
	Version uint64 `cbor:"1,keyasint"`
	// Exists is set if an operator ever stored a state in the keepers; the other fields are empty until then.
	Exists bool `cbor:"2,keyasint,omitempty"`
	// Document is the encoded state; it is empty if the relay already has the state of that version.
	Document []byte `cbor:"3,keyasint,omitempty"`
	// Compressed is the compressed encoded state if Document is empty.
	Compressed []byte `cbor:"4,keyasint,omitempty"`
}

// HasState reports whether the message contains a state and not only its version.
func (c *ConfigState) HasState() bool { return len(c.Document) > 0 || len(c.Compressed) > 0 }

// Keepers lists the keepers and relays that a keeper knows; it sends the list to relays.
type Keepers struct {
	// Addresses are the peer addresses of the keepers, sorted.
	Addresses []string `cbor:"1,keyasint"`
	// Relays are the addresses of the relays that callers may use, sorted.
	Relays []string `cbor:"2,keyasint"`
	// Draining are the addresses of relays that callers may no longer use but that may still serve requests, sorted.
	Draining []string `cbor:"3,keyasint,omitempty"`
	// Carriers are the relays that can carry connections to endpoints for others, sorted by their peer addresses.
	Carriers []reach.Carrier `cbor:"4,keyasint,omitempty"`
}

// RetryGrantRequest asks for extra attempts at a service beyond the sender's own part of the retry budget.
type RetryGrantRequest struct {
	// Relay is the name of the relay in its reports.
	Relay    string           `cbor:"5,keyasint"`
	Service  string           `cbor:"1,keyasint"`
	Cause    place.RetryCause `cbor:"2,keyasint"`
	Attempts int              `cbor:"3,keyasint"`
	// PassedOn is set by keepers: the receiver should be the leader, and does not pass it on.
	PassedOn bool `cbor:"4,keyasint,omitempty"`
}

// RetryGrant is the leader's reply to a RetryGrantRequest.
type RetryGrant struct {
	// Attempts is the number of extra attempts that the relay may make at once.
	Attempts int `cbor:"1,keyasint,omitempty"`
}

// Origins tells a keeper at which software versions streams began.
type Origins struct {
	Records []origin.Record `cbor:"1,keyasint,omitempty"`
	// Versions are the software versions that the sender has seen listed lately.
	Versions []origin.Sighting `cbor:"2,keyasint,omitempty"`
	// PassedOn is set by keepers: all other keepers get the same, so the receiver does not pass it on.
	PassedOn bool `cbor:"3,keyasint,omitempty"`
	// Complete is set if Versions holds all that were listed within origin.Lifetime.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// OriginRequest asks a keeper where the stream of a caller's attempt began.
type OriginRequest struct {
	Attempt origin.Attempt `cbor:"1,keyasint"`
	// Confirm asks whether a quorum confirms that the keeper's versions are current.
	Confirm bool `cbor:"2,keyasint,omitempty"`
}

// OriginReply is a keeper's reply to an OriginRequest.
type OriginReply struct {
	// Known is true if the keeper knows the origin.
	Known  bool          `cbor:"1,keyasint,omitempty"`
	Origin origin.Origin `cbor:"2,keyasint"`
	// Versions are the software versions of all services that the keeper has seen listed lately.
	Versions []origin.Sighting `cbor:"3,keyasint,omitempty"`
	// Complete is set if Versions holds all that were listed within origin.Lifetime.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Confirmed is set if a quorum has confirmed, after the request arrived, that Versions holds all that the keepers knew then, and the
	// keepers have a current list.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}
