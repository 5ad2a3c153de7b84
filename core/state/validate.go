package state

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that Validate finds in a configuration state, each wrapped with the name of the route or account.
var (
	ErrUnknownService  = eris.New("names a service that the state does not have")
	ErrDuplicatePrefix = eris.New("has the host and prefix of another route")
	ErrZeroWeight      = eris.New("has weights that add up to 0")
	ErrZeroTimeout     = eris.New("has a timeout of 0")
	ErrDuplicateKey    = eris.New("has a key of another client account")
	ErrInvalidPrefix   = eris.New("has a prefix that does not begin and end with a slash")
	ErrNegativeValue   = eris.New("has a negative figure")
)

// hostPrefix is the host and path prefix that select a route, in their normal forms.
type hostPrefix struct{ host, prefix string }

// Validate returns all errors of the configuration state joined into one, or nil.
func (s *State) Validate() error {
	var errs []error
	services := make(map[string]bool, len(s.Services))
	for i := range s.Services {
		services[s.Services[i].Name] = true
	}
	seen := make(map[hostPrefix]bool, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		target := hostPrefix{canonicalHost(r.Host), canonicalPath(r.Prefix)}
		if seen[target] {
			errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrDuplicatePrefix))
		}
		seen[target] = true
		errs = append(errs, r.validate(services)...)
	}
	owners := map[string]int{}
	for i, a := range s.Accounts {
		for _, key := range a.Keys {
			if owner, found := owners[key]; found && owner != i {
				errs = append(errs, fmt.Errorf("client account %q %w", a.Name, ErrDuplicateKey))
			}
			owners[key] = i
		}
	}
	return errors.Join(errs...)
}

// validate returns the errors of one route of the configuration; services holds the names of the configuration's
// services.
func (r *Route) validate(services map[string]bool) []error {
	var errs []error
	totalWeight := 0
	for _, share := range r.Shares {
		totalWeight += share.Weight
		if !services[share.Service] {
			errs = append(errs, fmt.Errorf("route %q %w: %q", r.Name, ErrUnknownService, share.Service))
		}
		if share.Weight < 0 {
			errs = append(errs, fmt.Errorf("route %q %w: weight %d", r.Name, ErrNegativeValue, share.Weight))
		}
	}
	if totalWeight <= 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrZeroWeight))
	}
	if r.Timeout == 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrZeroTimeout))
	}
	if r.Timeout < 0 || r.MaxAttempts < 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrNegativeValue))
	}
	if p := r.Prefix; p == "" || p[0] != '/' || p[len(p)-1] != '/' {
		errs = append(errs, fmt.Errorf("route %q %w: %q", r.Name, ErrInvalidPrefix, p))
	}
	return errs
}
