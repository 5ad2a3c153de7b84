package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"wasabiweir/io/engine"

	"github.com/rotisserie/eris"
)

// refreshTimeout bounds one request to a router for the list of routers.
const refreshTimeout = time.Second

// refreshRetryDelay is the delay before the list of routers is requested again after a failure. It also keeps
// concurrent callers from refreshing the list at the same time.
const refreshRetryDelay = 500 * time.Millisecond

// maxAddressBytes is the largest accepted size of the reply with the list of routers, in bytes.
const maxAddressBytes = 1 << 20

// Address is one router's entry in the reply to GET /v1/addresses.
type Address struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
	Domain  string  `json:"domain"`
}

// Addresses caches the list of routers and their addresses for the time to live that the routers give, as real clients
// do.
type Addresses struct {
	// Seeds are the addresses of the initial routers. They are used until the first list of routers has been received.
	Seeds []string
	// Transport holds the connections to the routers; nil means a new Transport.
	Transport *engine.Transport

	once    sync.Once
	mu      sync.Mutex // guards list and expires
	list    []Address
	expires time.Time
}

// routerListReply is the body of the reply to GET /v1/addresses.
type routerListReply struct {
	Addresses []Address `json:"addresses"`
	TTLMS     int64     `json:"ttl-ms"`
}

// Pick returns the address of a router chosen at random by weight, or an empty string if no router is known. It
// returns one of the addresses to avoid only if there is no other.
func (a *Addresses) Pick(ctx context.Context, avoid ...string) string {
	list := a.currentRouterList(ctx)
	others := slices.DeleteFunc(slices.Clone(list), func(o Address) bool { return slices.Contains(avoid, o.Address) })
	if len(others) > 0 {
		list = others
	}
	totalWeight := 0.0
	for _, o := range list {
		totalWeight += o.Weight
	}
	remaining := rand.Float64() * totalWeight
	for _, o := range list {
		remaining -= o.Weight
		if remaining < 0 {
			return o.Address
		}
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))].Address
}

// currentRouterList returns a copy of the cached list of routers and refreshes the list first if it has expired. If
// the refresh fails, it returns the expired list.
func (a *Addresses) currentRouterList(ctx context.Context) []Address {
	a.once.Do(a.initAddresses)
	a.mu.Lock()
	due := !time.Now().Before(a.expires)
	if due {
		a.expires = time.Now().Add(refreshRetryDelay)
	}
	list := slices.Clone(a.list)
	a.mu.Unlock()
	if !due {
		return list
	}
	for _, from := range a.routersToAskForList(list) {
		answer, err := a.fetchRouterList(ctx, from)
		if err != nil {
			continue
		}
		a.mu.Lock()
		a.list = answer.Addresses
		a.expires = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
		a.mu.Unlock()
		return slices.Clone(answer.Addresses)
	}
	return list
}

// initAddresses sets the default transport and fills the list of routers with the initial ones, the seeds.
func (a *Addresses) initAddresses() {
	if a.Transport == nil {
		a.Transport = &engine.Transport{}
	}
	for _, s := range a.Seeds {
		a.list = append(a.list, Address{Address: s, Weight: 1})
	}
}

// routersToAskForList returns the routers from which the list of routers is requested, in the order to try: the known
// ones in random order, then the remaining initial ones (the seeds).
func (a *Addresses) routersToAskForList(list []Address) []string {
	var from []string
	for _, i := range rand.Perm(len(list)) {
		from = append(from, list[i].Address)
	}
	for _, s := range a.Seeds {
		if !slices.Contains(from, s) {
			from = append(from, s)
		}
	}
	return from
}

// fetchRouterList requests the list of routers from one router. An empty list is an error.
func (a *Addresses) fetchRouterList(ctx context.Context, from string) (routerListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var answer routerListReply
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/v1/addresses", http.NoBody)
	if err != nil {
		return answer, fmt.Errorf("make address request: %w", err)
	}
	r, err := a.Transport.RoundTripper(false).RoundTrip(req)
	if err != nil {
		return answer, fmt.Errorf("request addresses: %w", err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return answer, eris.Errorf("request addresses: status %d", r.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAddressBytes)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode addresses: %w", err)
	}
	if len(answer.Addresses) == 0 {
		return answer, eris.New("address answer is empty")
	}
	return answer, nil
}
