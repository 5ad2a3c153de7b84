package state

import "time"

// State is one complete version of the configuration.
type State struct {
	// Version orders the states; the highest one is in force.
	Version uint64
	// Routes are the routes in the order in which the document lists them.
	Routes []Route
	// Services are the services to which routes may refer.
	Services []Service
	// Limits bound the size and duration of callers' requests.
	Limits RequestLimits
	// KeysRequired means that requests need the API key of a client account unless their route is public. If there are no
	// accounts, no key is valid.
	KeysRequired bool
	// Accounts are the client accounts.
	Accounts []Account
	// Document is the configuration document as the operator sent it.
	Document []byte
}

// Decoder parses a configuration document. It checks the syntax only; State.Validate checks the content.
type Decoder func(document []byte) (*State, error)

// RouteKind states whether requests on a route may be repeated, and whether the response is a stream.
type RouteKind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events.
	Stream
)

// kindNames are the names of the route kinds, as RouteKind.String returns them.
var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name of the kind, such as "safe".
func (k RouteKind) String() string { return kindNames[k] }

// Route defines how requests to a host whose path begins with a prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// LatencyObjective is the latency objective: the time within which a response, or the first event of a stream,
	// counts as on time.
	LatencyObjective time.Duration
	// MaxPause is the longest time between two events of a stream that counts as on time, or zero if there is no
	// objective.
	MaxPause time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Shares are the services among which the route's requests are divided by weight.
	Shares []ServiceShare
	// MaxAttempts is the largest number of endpoints to which one request may be sent.
	MaxAttempts int
	// Public means that requests need no API key.
	Public bool
	// Resumable means that an interrupted stream may be resumed at another endpoint after the last event received.
	Resumable bool
}

// Repeatable reports whether requests on the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// ServiceShare assigns a service a part of a route's requests.
type ServiceShare struct {
	Service string
	// Weight divided by the sum of the route's weights is the part of the requests that the service gets.
	Weight int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the URL path of an endpoint's health check.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from all clients together.
	MaxConnections int
	// Model describes the model engines if the endpoints are model engines, and is nil otherwise.
	Model *Model
}

// Model describes the model engines of a service.
type Model struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// CacheTokens is the number of tokens that fit into the key-value cache of an engine.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Backups means that engines can send a copy of a request's key-value cache to another engine on demand.
	Backups bool
	// CopyTTL is how long an engine keeps a copy of a request's key-value cache after the copy's last part has arrived
	// from the other engine.
	CopyTTL time.Duration
}

// RequestLimits bound the size and duration of callers' requests.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time within which a caller must send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route for the account's requests unless it is nil.
	Priority *int
}
