package object

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// sampleGraph returns the graph of the sample file.
func sampleGraph(t *testing.T) *Graph {
	t.Helper()
	c, err := ParseChange("sample", []byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	return &c.Put
}

// faultyEdits lists replacements in the sample file, each with the finding that it must cause.
var faultyEdits = []struct{ old, replacement, want string }{
	{`"service":"dente-llm","address"`, `"service":"x","address"`, `endpoint/e1: service: service/x does not exist`},
	{`10.0.0.1:8000`, `host:80`, `endpoint/e1: address: "host:80"`},
	{`10.0.0.1:8000`, `0.0.0.0:80`, `endpoint/e1: address: "0.0.0.0:80"`},
	{`10.0.0.1:8000`, `10.0.0.1:0`, `endpoint/e1: address: "10.0.0.1:0"`},
	{`10.0.0.1:8000`, `[fd00:0::1]:80`, `endpoint/p1: address: "[fd00::1]:80" is also`},
	{`"domain":"petrolina"`, `"domain":""`, `endpoint/e1: domain: ""`},
	{`"slots":8`, `"slots":-1`, `endpoint/e1: slots: -1`},
	{`"leaving":true`, `"checks-fencing":true`, `endpoint/p1: checks-fencing`},
	{`"leaving":true`, `"software":"2.3.1"`, `endpoint/p1: software: is set`},
	{`"slots":8`, `"software":"2.3 1"`, `endpoint/e1: software: "2.3 1" is not`},
	{`["9f86`, `["abc","9f86`, `account/vets: token-hashes: "abc" is not`},
	{`["9f86`, `["` + HashToken("test") + `","9f86`, `account/vets: token-hashes: "` + HashToken("test") + `" is also`},
	{`"tokens-per-second":900.5`, `"tokens-per-second":-1`, `account/vets: tokens-per-second: -1`},
	{`"weight":2`, `"weight":-1`, `account/vets: weight: -1`},
	{`"weight":2`, `"max-in-flight":-1`, `account/vets: max-in-flight: -1`},
	{`"name":"vets"`, `"name":"Vets"`, `account/Vets: name: "Vets" is not a valid name`},
	{`"type":"model"`, `"type":"llm"`, `service/dente-llm: type: "llm"`},
	{`"type":"model"`, `"type":"model","idempotent-methods":["GET"]`, `service/dente-llm: idempotent-methods: is set`},
	{`"wait-ms":3000`, `"wait-ms":-1`, `service/dente-llm: wait-ms: -1`},
	{`"timeout-ms":600000`, `"timeout-ms":-1`, `service/dente-llm: timeout-ms: -1`},
	{`["GET"]`, `["get"]`, `service/rondas-app: idempotent-methods: "get"`},
	{`"service":"dente-llm","version"`, `"service":"rondas-app","version"`, `model/dente-7b: service: "rondas-app" is a plain`},
	{`"version":"v1"`, `"version":""`, `model/dente-7b: version: ""`},
	{`"bytes":14000000000`, `"bytes":-1`, `model/dente-7b: bytes: -1`},
	{`"model":"dente-7b","version"`, `"model":"x","version"`, `adapter/float-plan: model: model/x does not exist`},
	{`"model":"dente-7b","version"`, `"model":"x","version"`, `intent/plans: adapters: "float-plan" belongs to model "x"`},
	{`"name":"plans","service":"dente-llm"`, `"name":"plans","service":"rondas-app"`, `intent/plans: model: is set for a plain service`},
	{`"name":"plans","service":"dente-llm"`, `"name":"plans","service":"other"`, `intent/plans: service: service/other does not exist`},
	{`"model":"dente-7b","adapters"`, `"adapters"`, `intent/plans: model: is missing`},
	{`"model":"dente-7b","adapters"`, `"model":"x","adapters"`, `intent/plans: model: model/x does not exist`},
	{`"accounts":["vets"]`, `"accounts":["x"]`, `intent/plans: accounts: account/x does not exist`},
	{`"accounts":["vets"]`, `"accounts":["vets","vets"]`, `intent/plans: accounts: "vets" is listed twice`},
	{`"min-engines":2`, `"min-engines":-1`, `intent/plans: min-engines: -1`},
	{`"priority":-1`, `"priority":1001`, `intent/plans: priority: 1001`},
	{`"adapters":["float-plan"]`, `"adapters":["x"]`, `intent/plans: adapters: adapter/x does not exist`},
}

// Guards against an invalid graph that passes validation, and against findings that do not name the object and the
// field.
func TestValidateFindsEachFault(t *testing.T) {
	for _, f := range faultyEdits {
		text := strings.Replace(sample, f.old, f.replacement, 1)
		c, err := ParseChange("edited", []byte(text))
		if err != nil || text == sample {
			t.Fatalf("%s: edit failed: %v", f.want, err)
		}
		findings := c.Put.Validate()
		if !slices.ContainsFunc(findings, func(x Finding) bool {
			return strings.HasPrefix(x.String(), f.want) && x.Field != "" && x.Allowed != ""
		}) {
			t.Errorf("findings %v do not include %q", findings, f.want)
		}
	}
	g := sampleGraph(t)
	g.Accounts["nan"] = Account{Name: "nan", Weight: math.NaN()}
	g.Services["other"] = Service{Name: "other", Type: ServiceModel}
	g.Models["x"] = Model{Name: "x", Service: "other", Version: "1"}
	g.Intents["x"] = Intent{Name: "x", Service: "dente-llm", Model: "x"}
	if findings := g.Validate(); len(findings) != 2 || findings[0].Field != "weight" || findings[1].Field != "model" {
		t.Errorf("findings %v for a weight that is not a number and a model of another service", findings)
	}
}

// Guards against a change that is accepted although it deletes an object that does not exist, deletes one twice, stores
// and deletes the same one, or stores one under another name.
func TestApplyRefusesWrongDeletes(t *testing.T) {
	g := sampleGraph(t)
	gone, e1 := Ref{KindEndpoint, "gone"}, Ref{KindEndpoint, "e1"}
	put := Graph{Endpoints: map[string]Endpoint{"e1": {Name: "e1"}, "e2": {Name: "e3"}}}
	for _, c := range []*Change{{Delete: []Ref{gone}}, {Delete: []Ref{e1, e1}}, {Delete: []Ref{{"router", "r"}}}, {Put: put}, {Put: put, Delete: []Ref{e1}}} {
		if _, findings := g.Apply(c); len(findings) == 0 {
			t.Errorf("change %+v is accepted", c)
		}
	}
}

// Guards against a change that also modifies the graph it is based on, against a diff that misses an object, and
// against equal graphs with different digests.
func TestApplyAndDiffAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Graph{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			before, was := g.Digest(), g.Clone()
			c := &Change{Put: Graph{Models: map[string]Model{}, Endpoints: map[string]Endpoint{}}}
			for _, n := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4).Draw(t, "put") {
				c.Put.Models[n] = Model{Name: n, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}
				c.Put.Endpoints[n] = Endpoint{Name: n, Slots: rapid.IntRange(0, 1).Draw(t, "slots")}
			}
			for n := range g.Models {
				if _, put := c.Put.Models[n]; !put && rapid.Bool().Draw(t, "delete") {
					c.Delete = append(c.Delete, Ref{KindModel, n})
				}
			}
			next, findings := g.Apply(c)
			if len(findings) > 0 || g.Digest() != before || len(Diff(was, g)) > 0 {
				t.Fatalf("findings %v or the base graph changed", findings)
			}
			diff := Diff(g, next)
			if (len(diff) == 0) != (next.Digest() == before) {
				t.Fatalf("diff %v, digests %s and %s", diff, before, next.Digest())
			}
			touched := c.Refs()
			for _, d := range diff {
				if !slices.Contains(touched, d.Ref) {
					t.Fatalf("%v differs and is not part of the change", d)
				}
			}
			g = next
		}
	})
}

// Guards against a service without timeouts that allows its callers no time, and an account without a weight that gets
// no capacity.
func TestDefaults(t *testing.T) {
	s, set := Service{}, Service{WaitMS: 10, TimeoutMS: 20}
	if s.MaxWait() != DefaultFirstTokenWait || s.Timeout() != DefaultCallTimeout || set.MaxWait() != 10*time.Millisecond || set.Timeout() != 20*time.Millisecond {
		t.Errorf("waits %v and %v, timeouts %v and %v", s.MaxWait(), set.MaxWait(), s.Timeout(), set.Timeout())
	}
	if (Account{}).FairWeight() != 1 || (Account{Weight: 0.5}).FairWeight() != 0.5 {
		t.Error("weight of an account")
	}
}
