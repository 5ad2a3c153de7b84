package router

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"wasabiweir/core/common"
	"wasabiweir/core/object"
)

// ConfigView is an immutable revision of the configuration with indexes for requests. It is read through an atomic
// pointer, without locks.
type ConfigView struct {
	Revision uint64
	Digest   string
	Graph    *object.Graph

	// accountsByTokenHash holds the client accounts by the hex SHA-256 of their access tokens.
	accountsByTokenHash map[string]object.Account
	// intentsByService holds the routing intents of each service.
	intentsByService map[string][]object.Intent
	// endpointNames are the sorted names of all endpoints; packedCounts refers to them by index.
	endpointNames []string
	// addresses holds the addresses of all endpoints.
	addresses map[string]bool
}

// newConfigView builds the indexes for a revision of the configuration.
func newConfigView(revision uint64, digest string, g *object.Graph) *ConfigView {
	v := &ConfigView{
		Revision:            revision,
		Digest:              digest,
		Graph:               g,
		accountsByTokenHash: map[string]object.Account{},
		intentsByService:    map[string][]object.Intent{},
		addresses:           map[string]bool{},
	}
	for _, a := range g.Accounts {
		for _, hash := range a.TokenHashes {
			v.accountsByTokenHash[hash] = a
		}
	}
	for name, e := range g.Endpoints {
		v.endpointNames = append(v.endpointNames, name)
		v.addresses[e.Address] = true
	}
	slices.Sort(v.endpointNames)
	for _, i := range g.Intents {
		v.intentsByService[i.Service] = append(v.intentsByService[i.Service], i)
	}
	return v
}

// accountByToken returns the client account that an access token belongs to, or a refusal.
func (v *ConfigView) accountByToken(token string) (object.Account, error) {
	sum := sha256.Sum256([]byte(token))
	a, ok := v.accountsByTokenHash[hex.EncodeToString(sum[:])]
	if !ok {
		return a, common.NewNotRunRefusal(common.ReasonUnknownAccount, "Authorization", "the access token belongs to no client account")
	}
	return a, nil
}

// intentFor returns the routing intent that lets the account use a service; model is empty for a plain service. It
// returns a refusal if there is none.
func (v *ConfigView) intentFor(account, service, model string) (object.Intent, error) {
	var found *object.Intent
	for _, i := range v.intentsByService[service] {
		if i.Model != model || !intentAllows(i, account) {
			continue
		}
		// If several intents match, the one with the lowest name is used, so that all routers choose the same.
		if found == nil || i.Name < found.Name {
			found = &i
		}
	}
	if found == nil {
		return object.Intent{}, common.NewNotRunRefusal(common.ReasonNotAllowed, "", "no routing intent lets account "+account+" use service "+service)
	}
	return *found, nil
}

// intentAllows reports whether the account may use the intent; an intent without accounts is open to all.
func intentAllows(i object.Intent, account string) bool {
	if len(i.Accounts) == 0 {
		return true
	}
	for _, a := range i.Accounts {
		if a == account {
			return true
		}
	}
	return false
}
