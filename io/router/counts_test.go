package router

import (
	"fmt"
	"maps"
	"testing"

	"wasabiweir/core/object"
	"wasabiweir/core/route"
	"wasabiweir/io/wire"
)

// newTestView returns a configuration of the given revision with the given number of engines.
func newTestView(revision uint64, engines int) *ConfigView {
	g := &object.Graph{Endpoints: map[string]object.Endpoint{}}
	for i := range engines {
		name := fmt.Sprintf("engine-%02d", i)
		g.Endpoints[name] = object.Endpoint{Name: name}
	}
	return newConfigView(revision, "", g)
}

// testLoads returns a different load for each endpoint of the configuration.
func testLoads(v *ConfigView) map[string]route.Load {
	out := map[string]route.Load{}
	for i, name := range v.endpointNames {
		out[name] = route.Load{Streams: 16 + i, Tokens: 4000 + 16*float64(i)}
	}
	return out
}

// Endpoints are identified by their index, so that counts of another configuration revision would be credited to the
// wrong endpoints.
func TestCountsOfAnotherRevisionAreDropped(t *testing.T) {
	v := newTestView(7, 5)
	c := route.PeerCounts{Router: "r1", Waiting: map[string]int{"s": 3}, Loads: testLoads(v)}
	got, ok := v.unpackCounts(v.packCounts(c))
	if !ok || !maps.Equal(got.Loads, c.Loads) || got.Waiting["s"] != 3 {
		t.Fatalf("unpacked %v, want %v", got, c)
	}
	if _, ok := newTestView(8, 4).unpackCounts(v.packCounts(c)); ok {
		t.Fatal("counts of another revision were accepted")
	}
	if _, ok := newTestView(7, 4).unpackCounts(v.packCounts(c)); ok {
		t.Fatal("counts of an unknown endpoint were accepted")
	}
}

// Control traffic is limited to 7 KB/s per router. The exchange of in-flight counts among 8 routers with 36 engines,
// four times a second, must fit into it.
func TestCountsFitControlTrafficLimit(t *testing.T) {
	v := newTestView(7, 36)
	c := route.PeerCounts{Router: "router-1", Waiting: map[string]int{"pisar": 12}, Loads: testLoads(v)}
	body, err := wire.Marshal(v.packCounts(c))
	if err != nil {
		t.Fatal(err)
	}
	frame, err := wire.Marshal(wire.Frame{Kind: wire.KindCounts, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	const peers, perSecond, budget = 7, 4, 7000
	if n := len(frame) * peers * perSecond; n > budget {
		t.Fatalf("%d bytes/s, the limit is %d", n, budget)
	} else {
		t.Logf("%d bytes per frame, %d bytes/s", len(frame), n)
	}
	old, err := wire.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("with endpoint names: %d bytes per frame, %d bytes/s", len(old), len(old)*peers*perSecond)
}
