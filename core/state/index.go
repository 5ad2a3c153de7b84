package state

import (
	"slices"
	"strings"
)

// Index answers which route, service and client account belong to a request; it is built once for a state and is safe
// for concurrent use.
type Index struct {
	State *State

	routes   map[string][]*Route
	keys     map[string]*Account
	services map[string]*Service
}

// NewIndex returns the index of a valid state.
func NewIndex(s *State) *Index {
	x := &Index{State: s, routes: map[string][]*Route{}, keys: map[string]*Account{}, services: map[string]*Service{}}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := hostName(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			x.keys[key] = &s.Accounts[i]
		}
	}
	for i := range s.Services {
		x.services[s.Services[i].Name] = &s.Services[i]
	}
	return x
}

// hostName returns the host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds the key, or nil.
func (x *Index) Account(key string) *Account { return x.keys[key] }

// Service returns the service with the name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// NeedsKey reports whether requests on the route need the key of a client account.
func (x *Index) NeedsKey(r *Route) bool { return len(x.State.Accounts) > 0 && !r.Public }

// Pick returns the service of a request on the route for a uniform draw from [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := int(draw * float64(sum))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
