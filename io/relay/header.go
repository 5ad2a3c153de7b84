package relay

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// headerBytes returns the size of a request's header as it was sent, approximately.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// oneHop are the headers that concern one connection only.
var oneHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade",
	"Expect", "Host",
}

// forwarded returns the headers that endpoints get: neither those of one connection, nor those that the system sets.
func (r *Relay) forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range oneHop {
		out.Del(name)
	}
	n := &r.Names
	for _, name := range []string{n.Deadline, n.Key, n.Account, n.Expect, n.Signature, n.NotRun, n.Backup, n.From, n.Load} {
		out.Del(name)
	}
	for _, name := range n.System {
		out.Del(name)
	}
	return out
}

// copyHeader copies an endpoint's headers to the caller's answer.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(oneHop, name) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// Without an entry, net/http would add a type that the endpoint did not state.
		to["Content-Type"] = nil
	}
}
