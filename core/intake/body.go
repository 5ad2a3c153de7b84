package intake

const (
	// bodyShare is the part, as a divisor, of a process's memory that the bodies of requests may take while they are read and
	// handled.
	bodyShare = 4
	// defaultBodyBudget is the budget in bytes of a process whose memory is not known.
	defaultBodyBudget = 256 << 20
)

// BodyBytes returns the memory in bytes for the bodies of requests that are read whole.
func (r Resources) BodyBytes() int64 {
	if r.MemoryBytes == 0 {
		return defaultBodyBudget
	}
	return r.MemoryBytes / bodyShare
}
