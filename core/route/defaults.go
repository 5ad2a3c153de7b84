package route

import "time"

// Fractions of the engine capacity that are kept for short requests, tuned in the bench scenarios crest and blocking.
const (
	// DefaultReservedFraction is the fraction of each endpoint's slots that is reserved for short requests and resumed
	// streams.
	DefaultReservedFraction = 0.03
	// DefaultDedicatedFraction is the fraction of a service's endpoints that serve only short requests while there are
	// any.
	DefaultDedicatedFraction = 1.0 / 12
)

// Rate limit of resumed streams after the loss of endpoints.
const (
	// ResumePrefillFraction is the fraction of the engines' prefill rate that resumed streams of all routers together
	// may use. The limit keeps undisturbed streams at their normal speed when a failure domain is lost.
	ResumePrefillFraction = 0.6
	// ResumeBurst sets the burst of resumed streams: the tokens that ResumePrefillFraction allows in this time.
	ResumeBurst = 300 * time.Millisecond
)
