package relay

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// headerSize returns the least size in bytes that a request's header had as it was sent: lines may end without a carriage return,
// and values may begin without a space.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\nHost:\n\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(":\n") + len(v)
		}
	}
	return n
}

// hopByHopHeaders are the HTTP headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade",
	"Expect", "Host",
}

// forwardedHeaders returns a copy of a caller's headers for endpoints, without hop-by-hop headers and without those
// that only the system may set.
func (r *Relay) forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	n := &r.Names
	for _, name := range []string{n.Deadline, n.Key, n.Account, n.ExpectedEndpoint, n.Signature, n.NotExecuted, n.CopyTarget, n.ResumeFrom, n.Load} {
		out.Del(name)
	}
	for _, name := range n.ReservedHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies an endpoint's headers, except hop-by-hop ones, to the response for the caller.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil entry stops net/http from adding a content type that the endpoint did not send.
		to["Content-Type"] = nil
	}
}
