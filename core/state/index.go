package state

import (
	"slices"
	"strings"
)

// ConfigIndex finds the route, service and client account of a request in a configuration state. It is built once for
// each state and is safe for concurrent use.
type ConfigIndex struct {
	State *State

	// routesByHost holds the routes of each host by descending length of their prefixes, both in their normal forms.
	routesByHost   map[string][]indexedRoute
	accountsByKey  map[string]*Account
	servicesByName map[string]*Service
}

// indexedRoute is a route with the normal form of its prefix.
type indexedRoute struct {
	prefix string
	route  *Route
}

// NewConfigIndex returns an index of the configuration state, which must have passed Validate.
func NewConfigIndex(s *State) *ConfigIndex {
	x := &ConfigIndex{State: s, routesByHost: map[string][]indexedRoute{}, accountsByKey: map[string]*Account{}, servicesByName: map[string]*Service{}}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := canonicalHost(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], indexedRoute{canonicalPath(r.Prefix), r})
	}
	for _, list := range x.routesByHost {
		slices.SortFunc(list, func(a, b indexedRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			x.accountsByKey[key] = &s.Accounts[i]
		}
	}
	for i := range s.Services {
		x.servicesByName[s.Services[i].Name] = &s.Services[i]
	}
	return x
}

// Route returns the route of the host with the longest prefix of the path, or nil if none matches.
func (x *ConfigIndex) Route(host, path string) *Route {
	path = canonicalPath(path)
	for _, r := range x.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// Account returns the client account that owns the API key, or nil.
func (x *ConfigIndex) Account(key string) *Account { return x.accountsByKey[key] }

// Service returns the service with the name, or nil.
func (x *ConfigIndex) Service(name string) *Service { return x.servicesByName[name] }

// NeedsKey reports whether requests on the route must carry the API key of a client account.
func (x *ConfigIndex) NeedsKey(r *Route) bool { return x.State.KeysRequired && !r.Public }

// HasService reports whether the route leads to the service, for some requests at least.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Shares, func(s ServiceShare) bool { return s.Service == name })
}

// PickService chooses the service for a request by the weights of the route's services; draw is a uniform random
// number in [0, 1).
func (r *Route) PickService(draw float64) string {
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	remaining := int(draw * float64(totalWeight))
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return ""
}
