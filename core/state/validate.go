package state

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Faults of a state; Validate wraps them with the name of the object.
var (
	ErrUnknownService = eris.New("names a service that the state does not have")
	ErrSamePlace      = eris.New("has the host and prefix of another route")
	ErrNoWeight       = eris.New("has weights that add up to 0")
	ErrNoTimeout      = eris.New("has a timeout of 0")
	ErrSharedKey      = eris.New("has a key of another client account")
	ErrPrefix         = eris.New("has a prefix that does not begin and end with a slash")
	ErrNegative       = eris.New("has a negative figure")
)

// place is where a route's requests arrive.
type place struct{ host, prefix string }

// Validate returns all faults of the state together, or nil.
func (s *State) Validate() error {
	var errs []error
	services := make(map[string]bool, len(s.Services))
	for i := range s.Services {
		services[s.Services[i].Name] = true
	}
	places := make(map[place]bool, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		at := place{r.Host, r.Prefix}
		if places[at] {
			errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrSamePlace))
		}
		places[at] = true
		errs = append(errs, r.validate(services)...)
	}
	owners := map[string]string{}
	for _, a := range s.Accounts {
		for _, key := range a.Keys {
			if owner, taken := owners[key]; taken && owner != a.Name {
				errs = append(errs, fmt.Errorf("client account %q %w", a.Name, ErrSharedKey))
			}
			owners[key] = a.Name
		}
	}
	return errors.Join(errs...)
}

func (r *Route) validate(services map[string]bool) []error {
	var errs []error
	sum := 0
	for _, share := range r.Shares {
		sum += share.Weight
		if !services[share.Service] {
			errs = append(errs, fmt.Errorf("route %q %w: %q", r.Name, ErrUnknownService, share.Service))
		}
		if share.Weight < 0 {
			errs = append(errs, fmt.Errorf("route %q %w: weight %d", r.Name, ErrNegative, share.Weight))
		}
	}
	if sum <= 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrNoWeight))
	}
	if r.Timeout == 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrNoTimeout))
	}
	if r.Timeout < 0 || r.Attempts < 0 {
		errs = append(errs, fmt.Errorf("route %q %w", r.Name, ErrNegative))
	}
	if p := r.Prefix; p == "" || p[0] != '/' || p[len(p)-1] != '/' {
		errs = append(errs, fmt.Errorf("route %q %w: %q", r.Name, ErrPrefix, p))
	}
	return errs
}
