package object

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Maximum values of the fields of configuration objects.
const (
	// MaxNameBytes is the maximum length of a configuration object's name in bytes, the same as of a DNS label.
	MaxNameBytes = 63
	// MaxVersionBytes is the maximum length of the version of a model, an adapter or an engine's software in bytes.
	MaxVersionBytes = 128
	// MaxTokenHashes is the maximum number of access tokens of one client account; several are needed to rotate tokens.
	MaxTokenHashes = 32
	// MaxTimeoutMS is the maximum of Service.TimeoutMS and Service.WaitMS, one day in milliseconds.
	MaxTimeoutMS = 24 * 60 * 60 * 1000
	// MaxWeightBytes is the maximum size of a model's or adapter's weights in bytes (1 PiB).
	MaxWeightBytes = 1 << 50
	// MaxTokens is the maximum of Model.ContextTokens and Intent.ShortTokens, in tokens.
	MaxTokens = 1 << 24
	// MaxEngines is the maximum of Intent.MinEngines.
	MaxEngines = 100_000
	// MaxSlots is the maximum number of concurrent requests of one endpoint.
	MaxSlots = 100_000
	// MaxInFlightLimit is the maximum of Account.MaxInFlight.
	MaxInFlightLimit = 1_000_000
	// MaxTokenRate is the maximum of Account.TokensPerSecond.
	MaxTokenRate = 1e9
	// MaxWeight is the maximum of Account.Weight.
	MaxWeight = 1e6
	// MaxPriority is the maximum of Intent.Priority; the minimum is its negative.
	MaxPriority = 1000
)

// Texts for Finding.Allowed that several findings share.
const (
	allowedName    = "kebab case: lower-case letters, digits and single hyphens, at most 63 bytes"
	allowedVersion = "1 to 128 printable ASCII characters without spaces"
	allowedModel   = "a model of the intent's service"
)

var (
	kebabCase      = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	sha256Hex      = regexp.MustCompile(`^[0-9a-f]{64}$`)
	versionPattern = regexp.MustCompile(`^[!-~]{1,128}$`)
	httpMethods    = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
)

// Validate checks all configuration objects of the graph and the references between them, and returns the findings in
// the canonical order of the objects; an empty result means that the graph is valid.
func (g *Graph) Validate() []Finding {
	v := &graphValidator{graph: g, tokenHashOwners: make(map[string]Ref), addressOwners: make(map[netip.AddrPort]Ref)}
	for _, item := range g.Objects() {
		v.current = item.Ref
		v.checkName(fieldName, item.Ref.Name)
		switch o := item.Object.(type) {
		case Service:
			v.checkService(o)
		case Account:
			v.checkAccount(o)
		case Model:
			v.checkModel(o)
		case Adapter:
			v.checkAdapter(o)
		case Intent:
			v.checkIntent(o)
		case Endpoint:
			v.checkEndpoint(o)
		}
	}
	return v.findings
}

// graphValidator collects the validation errors of a configuration graph, one object at a time.
type graphValidator struct {
	graph   *Graph
	current Ref
	// tokenHashOwners and addressOwners hold, for each access token hash and endpoint address, the object in which it was
	// seen first.
	tokenHashOwners map[string]Ref
	addressOwners   map[netip.AddrPort]Ref
	findings        []Finding
}

// addFinding records what is wrong with a field of the object that is being validated.
func (v *graphValidator) addFinding(field, problem, allowed string) {
	v.findings = append(v.findings, Finding{Object: v.current, Field: field, Problem: problem, Allowed: allowed})
}

// checkName checks that the name in a field is in kebab case and not too long.
func (v *graphValidator) checkName(field, value string) {
	if len(value) > MaxNameBytes || !kebabCase.MatchString(value) {
		v.addFinding(field, fmt.Sprintf("%.80q is not a valid name", value), allowedName)
	}
}

// checkVersion checks the version in a field, of a model, an adapter or an engine's software.
func (v *graphValidator) checkVersion(field, value string) {
	if !versionPattern.MatchString(value) {
		v.addFinding(field, fmt.Sprintf("%.80q is not a valid version", value), allowedVersion)
	}
}

// checkRange checks that the number in a field is from low to high; the negated comparison also rejects NaN.
func checkRange[N int | int64 | float64](v *graphValidator, field string, value, low, high N) {
	if !(value >= low && value <= high) { //nolint:staticcheck // De Morgan's form would accept NaN.
		v.addFinding(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", low, high))
	}
}

// checkExists checks that the configuration object to which a field refers exists, and reports whether it does.
func (v *graphValidator) checkExists(field string, r Ref) bool {
	if v.graph.Has(r) {
		return true
	}
	v.addFinding(field, fmt.Sprintf("%s does not exist", r), fmt.Sprintf("the name of an existing %s", r.Kind))
	return false
}

// checkDistinct checks that the list in a field has no duplicate values.
func (v *graphValidator) checkDistinct(field string, values []string) {
	seen := make(map[string]bool, len(values))
	for _, s := range values {
		if seen[s] {
			v.addFinding(field, fmt.Sprintf("%.80q is listed twice", s), "each value once")
		}
		seen[s] = true
	}
}

func (v *graphValidator) checkService(s Service) {
	if s.Type != ServiceModel && s.Type != ServicePlain {
		v.addFinding("type", fmt.Sprintf("%.80q is not a type of service", s.Type), "model or plain")
	}
	if s.Type == ServiceModel && len(s.IdempotentMethods) > 0 {
		v.addFinding("idempotent-methods", "is set on a model service", "only plain services")
	}
	v.checkDistinct("idempotent-methods", s.IdempotentMethods)
	for _, m := range s.IdempotentMethods {
		if !slices.Contains(httpMethods, m) {
			v.addFinding("idempotent-methods", fmt.Sprintf("%.80q is not a method", m), strings.Join(httpMethods, ", "))
		}
	}
	checkRange(v, "timeout-ms", s.TimeoutMS, 0, MaxTimeoutMS)
	checkRange(v, "wait-ms", s.WaitMS, 0, MaxTimeoutMS)
}

func (v *graphValidator) checkAccount(a Account) {
	if len(a.TokenHashes) > MaxTokenHashes {
		v.addFinding("token-hashes", fmt.Sprintf("has %d entries", len(a.TokenHashes)), fmt.Sprintf("at most %d", MaxTokenHashes))
	}
	for _, h := range a.TokenHashes {
		if !sha256Hex.MatchString(h) {
			v.addFinding("token-hashes", fmt.Sprintf("%.80q is not a SHA-256 sum", h), "64 lower-case hexadecimal digits")
		}
		if other, ok := v.tokenHashOwners[h]; ok {
			v.addFinding("token-hashes", fmt.Sprintf("%.80q is also listed by %s", h, other), "each token hash once over all accounts")
		}
		v.tokenHashOwners[h] = v.current
	}
	checkRange(v, "tokens-per-second", a.TokensPerSecond, 0, MaxTokenRate)
	checkRange(v, "weight", a.Weight, 0, MaxWeight)
	checkRange(v, "max-in-flight", a.MaxInFlight, 0, MaxInFlightLimit)
}

func (v *graphValidator) checkModel(m Model) {
	v.checkVersion("version", m.Version)
	checkRange(v, "bytes", m.Bytes, 0, MaxWeightBytes)
	checkRange(v, "context-tokens", m.ContextTokens, 0, MaxTokens)
	if !v.checkExists("service", Ref{KindService, m.Service}) {
		return
	}
	if v.graph.Services[m.Service].Type == ServicePlain {
		v.addFinding("service", fmt.Sprintf("%q is a plain service", m.Service), "a service of type model")
	}
}

func (v *graphValidator) checkAdapter(a Adapter) {
	v.checkVersion("version", a.Version)
	checkRange(v, "bytes", a.Bytes, 0, MaxWeightBytes)
	v.checkExists("model", Ref{KindModel, a.Model})
}

func (v *graphValidator) checkIntent(i Intent) {
	checkRange(v, "priority", i.Priority, -MaxPriority, MaxPriority)
	checkRange(v, "short-tokens", i.ShortTokens, 0, MaxTokens)
	checkRange(v, "min-engines", i.MinEngines, 0, MaxEngines)
	v.checkDistinct("accounts", i.Accounts)
	for _, name := range i.Accounts {
		v.checkExists("accounts", Ref{KindAccount, name})
	}
	if !v.checkExists("service", Ref{KindService, i.Service}) {
		return
	}
	if v.graph.Services[i.Service].Type == ServicePlain {
		v.checkPlainIntent(i)
		return
	}
	v.checkModelIntent(i)
}

// checkPlainIntent checks that an intent for a plain service has no fields that only apply to models.
func (v *graphValidator) checkPlainIntent(i Intent) {
	const only = "only intents of model services"
	if i.Model != "" {
		v.addFinding("model", "is set for a plain service", only)
	}
	if len(i.Adapters) > 0 {
		v.addFinding("adapters", "is set for a plain service", only)
	}
	if i.ShortTokens != 0 {
		v.addFinding("short-tokens", "is set for a plain service", only)
	}
	if i.MinEngines != 0 {
		v.addFinding("min-engines", "is set for a plain service", only)
	}
}

// checkModelIntent checks that an intent's model belongs to its service and its adapters belong to the model.
func (v *graphValidator) checkModelIntent(i Intent) {
	if i.Model == "" {
		v.addFinding("model", "is missing", allowedModel)
		return
	}
	if !v.checkExists("model", Ref{KindModel, i.Model}) {
		return
	}
	if owner := v.graph.Models[i.Model].Service; owner != i.Service {
		v.addFinding("model", fmt.Sprintf("%q belongs to service %q", i.Model, owner), allowedModel)
	}
	v.checkDistinct("adapters", i.Adapters)
	for _, name := range i.Adapters {
		if !v.checkExists("adapters", Ref{KindAdapter, name}) {
			continue
		}
		if owner := v.graph.Adapters[name].Model; owner != i.Model {
			v.addFinding("adapters", fmt.Sprintf("%q belongs to model %q", name, owner), "adapters of the intent's model")
		}
	}
}

func (v *graphValidator) checkEndpoint(e Endpoint) {
	v.checkName("domain", e.Domain)
	checkRange(v, "slots", e.Slots, 0, MaxSlots)
	if e.Role != "" {
		v.checkName("role", e.Role)
	}
	if e.Software != "" {
		v.checkVersion("software", e.Software)
	}
	v.checkAddress(e.Address)
	if !v.checkExists("service", Ref{KindService, e.Service}) {
		return
	}
	if e.ChecksFencing && v.graph.Services[e.Service].Type == ServicePlain {
		v.addFinding("checks-fencing", "is set for a plain service", "only endpoints of model services")
	}
	if e.Role != "" && v.graph.Services[e.Service].Type == ServicePlain {
		v.addFinding("role", "is set for a plain service", "only endpoints of model services")
	}
	if e.Software != "" && v.graph.Services[e.Service].Type == ServicePlain {
		v.addFinding("software", "is set for a plain service", "only endpoints of model services")
	}
}

// checkAddress checks that an endpoint's address is a unicast IP address with a port, and that no other endpoint has
// the same address.
func (v *graphValidator) checkAddress(s string) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		v.addFinding("address", fmt.Sprintf("%.80q is not the address of an endpoint", s), "an IP number and a port, such as 10.0.0.1:8000")
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if other, ok := v.addressOwners[addr]; ok {
		v.addFinding("address", fmt.Sprintf("%q is also the address of %s", s, other), "one endpoint for each address")
	}
	v.addressOwners[addr] = v.current
}
