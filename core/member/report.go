package member

import "wasabiweir/core/object"

// RouterReport is the status message that a router sends several times a second.
type RouterReport struct {
	Name        string `cbor:"name"`
	Incarnation uint64 `cbor:"incarnation"`
	// SentMS is the time of sending in Unix milliseconds of the router's clock; it rises with each report of an
	// incarnation.
	SentMS int64 `cbor:"sent-ms"`
	// Address is the address for callers, and Peer the address for other processes of the system.
	Address string `cbor:"address"`
	Peer    string `cbor:"peer"`
	Domain  string `cbor:"domain"`
	// Revision and Digest identify the configuration that the router has applied.
	Revision uint64        `cbor:"revision"`
	Digest   object.Digest `cbor:"digest"`
	// Fresh means that the router recently received proof that its configuration is the current one.
	Fresh    bool `cbor:"fresh"`
	Draining bool `cbor:"draining"`
	// Load is the used fraction of the router's capacity, from 0 to 1.
	Load float64 `cbor:"load"`
	// Demand holds the tokens per second that each account with requests at the router asks for.
	Demand map[string]float64 `cbor:"demand,omitempty"`
	// ShareID is the ID of the newest shares of the account limits that the router has applied, and ShareFloor its
	// current floor, the share without a lease, in millionths.
	ShareID    AccountShareID `cbor:"held"`
	ShareFloor int64          `cbor:"floor"`
	// CutOff means that the router reaches no endpoint itself.
	CutOff bool `cbor:"cut-off,omitempty"`
}

// isNewerThan reports whether r was sent later than other, a status report of the same router.
func (r *RouterReport) isNewerThan(other *RouterReport) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.SentMS > other.SentMS
}

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// The states of instances in the platform's instance list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}
