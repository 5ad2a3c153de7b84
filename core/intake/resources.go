package intake

// Resources are what a process may use; 0 means that it is not known.
type Resources struct {
	// MemoryBytes is the memory in bytes.
	MemoryBytes int64
	// Descriptors is the number of file descriptors.
	Descriptors int
}

// heapShare is the part of the memory, in hundredths, that the Go runtime may manage; the rest is for the program text, the
// thread stacks, and the bytes that the kernel holds for sockets.
const heapShare = 75

const (
	// reservedDescriptors are the descriptors that are left for files, listeners and the process's own few connections.
	reservedDescriptors = 256
	// connectionMemory is the part of the memory in bytes for which one connection may be open: with a request that is being
	// served, a connection takes some 50 KB, and the heap may be half garbage.
	connectionMemory = 96 << 10
	// minConnections is the least bound on the connections of one kind.
	minConnections = 16
)

// Connections returns the bound on the connections of one kind, of which the process may have the given number at most and the
// given part, in hundredths, of what its descriptors and its memory allow.
func (r Resources) Connections(share, most int) int {
	n := most
	if r.Descriptors > 0 {
		n = min(n, (r.Descriptors-reservedDescriptors)*share/100)
	}
	if r.MemoryBytes > 0 {
		n = min(n, int(r.MemoryBytes/connectionMemory)*share/100)
	}
	return max(n, min(most, minConnections))
}

// HeadBytes returns the memory in bytes for the heads of requests beyond the ordinary ones.
func (r Resources) HeadBytes() int64 { return r.MemoryBytes / headShare }

// HeapBytes returns the size in bytes of the memory managed by the runtime from which on it collects garbage more often; 0
// means that there is none.
func (r Resources) HeapBytes() int64 { return r.MemoryBytes / 100 * heapShare }
