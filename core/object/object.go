package object

// Kind is the kind of a configuration object, such as service or model, as written in change files.
type Kind string

// The kinds of configuration objects.
const (
	KindService  Kind = "service"
	KindAccount  Kind = "account"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindIntent   Kind = "intent"
	KindEndpoint Kind = "endpoint"
)

// Kinds lists all kinds of configuration objects in canonical order, in which objects are printed and digested.
var Kinds = []Kind{KindService, KindAccount, KindModel, KindAdapter, KindIntent, KindEndpoint}

// The values of Service.Type: a service of model engines, or a plain HTTP service.
const (
	ServiceModel = "model"
	ServicePlain = "plain"
)

// Ref identifies a configuration object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind" cbor:"kind"`
	Name string `json:"name" cbor:"name"`
}

// String returns the reference to a configuration object as kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Service is a group of endpoints, such as model engines, that can serve the same requests.
type Service struct {
	Name string `json:"name" cbor:"name"`
	// Type is ServiceModel or ServicePlain.
	Type string `json:"type" cbor:"type"`
	// IdempotentMethods lists the HTTP methods of a plain service whose requests may be executed more than once.
	IdempotentMethods []string `json:"idempotent-methods,omitempty" cbor:"idempotent-methods,omitempty"`
	// TimeoutMS is the maximum duration of one call in milliseconds; zero means DefaultCallTimeout.
	TimeoutMS int64 `json:"timeout-ms,omitempty" cbor:"timeout-ms,omitempty"`
	// WaitMS is the maximum time in milliseconds that a caller waits for the first token; zero means
	// DefaultFirstTokenWait.
	WaitMS int64 `json:"wait-ms,omitempty" cbor:"wait-ms,omitempty"`
}

// Account is a client account with its access tokens and the limits of its requests.
type Account struct {
	Name string `json:"name" cbor:"name"`
	// TokenHashes holds the SHA-256 sums of the account's access tokens in hexadecimal.
	TokenHashes []string `json:"token-hashes" cbor:"token-hashes"`
	// TokensPerSecond limits the rate of generated tokens for the account, summed over all routers; zero means no limit.
	TokensPerSecond float64 `json:"tokens-per-second,omitempty" cbor:"tokens-per-second,omitempty"`
	// Weight is the account's weight in the fair queue; zero means 1.
	Weight float64 `json:"weight,omitempty" cbor:"weight,omitempty"`
	// MaxInFlight limits the account's concurrent requests, summed over all routers; zero means no limit.
	MaxInFlight int `json:"max-in-flight,omitempty" cbor:"max-in-flight,omitempty"`
}

// Model is a model, in its current version, that the engines of a service can load.
type Model struct {
	Name    string `json:"name" cbor:"name"`
	Service string `json:"service" cbor:"service"`
	Version string `json:"version" cbor:"version"`
	// Bytes is the size of the model's weights.
	Bytes int64 `json:"bytes,omitempty" cbor:"bytes,omitempty"`
	// ContextTokens is the maximum length of a request's prompt and output together, in tokens; zero means no limit.
	ContextTokens int `json:"context-tokens,omitempty" cbor:"context-tokens,omitempty"`
}

// Adapter is a set of additional weights for a model, in its current version; an engine loads it in addition to the
// model.
type Adapter struct {
	Name    string `json:"name" cbor:"name"`
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	// Bytes is the size of the adapter's weights.
	Bytes int64 `json:"bytes,omitempty" cbor:"bytes,omitempty"`
}

// Intent declares which client accounts may use a model or a plain service, and with which priority and capacity.
type Intent struct {
	Name     string   `json:"name" cbor:"name"`
	Service  string   `json:"service" cbor:"service"`
	Model    string   `json:"model,omitempty" cbor:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
	// Accounts lists the client accounts that may use the model or service; an empty list means all.
	Accounts []string `json:"accounts,omitempty" cbor:"accounts,omitempty"`
	// Priority is the priority of requests that the engines receive with each request; requests with a lower value run
	// first.
	Priority int `json:"priority,omitempty" cbor:"priority,omitempty"`
	// ShortTokens is the largest output of a request, in tokens, with which the request counts as short.
	ShortTokens int `json:"short-tokens,omitempty" cbor:"short-tokens,omitempty"`
	// MinEngines is the minimum number of engines that must have the model and the adapters loaded.
	MinEngines int `json:"min-engines,omitempty" cbor:"min-engines,omitempty"`
}

// Endpoint is one backend of a service, such as a model engine; each endpoint of a model service is an engine.
type Endpoint struct {
	Name    string `json:"name" cbor:"name"`
	Service string `json:"service" cbor:"service"`
	// Address is an IP address and a port, such as 10.0.0.1:8000.
	Address string `json:"address" cbor:"address"`
	// Domain is the failure domain in which the endpoint runs.
	Domain string `json:"domain" cbor:"domain"`
	// Slots is the number of requests that the endpoint executes concurrently.
	Slots int `json:"slots,omitempty" cbor:"slots,omitempty"`
	// ChecksFencing says whether the engine rejects orders with a lower fencing number than one it has accepted.
	ChecksFencing bool `json:"checks-fencing,omitempty" cbor:"checks-fencing,omitempty"`
	// Role is the role that the engine shall have, such as prefill or decode; if empty, the engine keeps the one it has.
	Role string `json:"role,omitempty" cbor:"role,omitempty"`
	// Leaving says that the endpoint is being drained and receives no new requests.
	Leaving bool `json:"leaving,omitempty" cbor:"leaving,omitempty"`
	// Software is the version of the engine's software, not of its models; empty means unknown. A version that the
	// engine reports itself goes before it.
	Software string `json:"software,omitempty" cbor:"software,omitempty"`
}

// Graph is a complete set of configuration objects, in one map by name for each kind; the objects refer to each other
// by name.
type Graph struct {
	Services  map[string]Service  `cbor:"services"`
	Accounts  map[string]Account  `cbor:"accounts"`
	Models    map[string]Model    `cbor:"models"`
	Adapters  map[string]Adapter  `cbor:"adapters"`
	Intents   map[string]Intent   `cbor:"intents"`
	Endpoints map[string]Endpoint `cbor:"endpoints"`
}

// Change is a change of the configuration: a set of objects to store and to delete, relative to a base revision.
type Change struct {
	// RequestID identifies the change, so that it gets the same outcome again when it is sent again.
	RequestID string `json:"request-id" cbor:"request-id"`
	// BaseRevision is the revision of the configuration that the change was made on; the change is accepted only while
	// that revision is the current one.
	BaseRevision uint64 `json:"base-revision" cbor:"base-revision"`
	// Put holds the configuration objects to create or replace.
	Put Graph `json:"-" cbor:"put"`
	// Delete holds the references of the configuration objects to remove.
	Delete []Ref `json:"delete,omitempty" cbor:"delete"`
}
