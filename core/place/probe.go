package place

// maxProbes is the number of liveness probes without a result from which on a relay does not look for silent engines that respond again. A
// relay that is late takes hundreds of sound engines for silent; the responses to probes of all of them at once would keep it late.
const maxProbes = 32

// ProbeRoom returns how many silent engines may be probed now, while a number of probes have no result yet.
func ProbeRoom(running int) int { return max(0, maxProbes-running) }
