package state

import "time"

// State is one whole configuration.
type State struct {
	// Version orders states; the highest one is in force.
	Version uint64
	// Routes are the routes in the order of the document.
	Routes []Route
	// Services are the services that routes name.
	Services []Service
	// Limits bound what a caller may send.
	Limits Limits
	// Accounts are the client accounts; a state without any asks for no keys.
	Accounts []Account
	// Document is what the operator sent.
	Document []byte
}

// Decoder reads a document; it checks the form only, and Validate checks the meaning.
type Decoder func(document []byte) (*State, error)

// Kind tells what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a series of events.
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Route says what happens to the requests of a host whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request may wait for its answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time; zero if the route states none.
	MaxPause time.Duration
	// Priority is the rank of the route's requests; 0 comes first.
	Priority int
	// Shares are the services among which requests are divided.
	Shares []Share
	// Attempts is the number of endpoints that one request may run on.
	Attempts int
	// Public says that requests need no key.
	Public bool
	// Resumable says that a stream may go on at another endpoint behind the last event that was received.
	Resumable bool
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	// Weight is the part in proportion to the sum of the route's weights.
	Weight int
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint is healthy.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from all callers.
	MaxConnections int
	// Model describes the endpoints if they are model engines; nil otherwise.
	Model *Model
}

// Model describes the model engines of a service.
type Model struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the number of tokens that fit into an engine's memory.
	MemoryTokens int
	// EventTokens is the number of tokens of one event.
	EventTokens int
	// Backups says that engines send a copy of a run's memory to another engine when they are asked to.
	Backups bool
	// CopyLife is how long a copy is kept after its last part has arrived.
	CopyLife time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which a caller sends the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may be idle.
	IdleTimeout time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route if it is set.
	Priority *int
}
