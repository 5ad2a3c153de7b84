package route

import (
	"testing"
	"time"

	"wasabiweir/core/common"

	"pgregory.net/rapid"
)

// Guards against a generation that goes on at an engine of another software version than the one that began it, also for a
// cached prefix, and against a wait for a version that no configured engine has.
func TestResumesKeepToTheSoftwareVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SampledFrom([]string{"", "1", "2"})
		tab := Table{}
		cfg := specs(5, 2)
		runs := make([]string, len(cfg))
		for i := range cfg {
			cfg[i].Software, cfg[i].Leaving = versions.Draw(t, "declared"), rapid.Bool().Draw(t, "drained")
			runs[i] = cfg[i].Software
		}
		tab.Configure(cfg)
		for i := range cfg {
			if rapid.Bool().Draw(t, "asked") {
				if v := versions.Draw(t, "reported"); v != "" {
					runs[i] = v
				}
				tab.SetSoftware(cfg[i].Name, runs[i])
			}
			tab.SetLeaving(cfg[i].Name, rapid.Bool().Draw(t, "leaving"))
			tab.ApplyCacheEvents(cfg[i].Name, []CacheEvent{{Seq: 1, Kind: CacheStored, Blocks: []uint64{1}}})
		}
		req := &Request{Service: "dente", OutputTokens: 10, Software: versions.Draw(t, "began"), Resume: rapid.Bool().Draw(t, "resume"), Blocks: []uint64{1}}
		e, err := tab.PickEndpoint(req, nil, epoch)
		able, staying, possible := false, false, req.Software == ""
		for i, x := range tab.Endpoints() {
			same := req.Software == "" || runs[i] == req.Software
			able = able || same && !x.reportedLeaving && (!x.Leaving || req.Software != "")
			staying = staying || same && !x.Unavailable()
			possible = possible || same || runs[i] == "" && !x.softwareReported
		}
		switch {
		case (err == nil) != able:
			t.Fatalf("picked %v with %v, want one: %v", e, err, able)
		case err == nil && req.Software != "" && runs[e.listIndex] != req.Software:
			t.Fatalf("version %q goes on at %s, which has %q", req.Software, e.Name, runs[e.listIndex])
		case err == nil && staying && e.Leaving:
			t.Fatalf("picked %s, which is drained, although another endpoint is not", e.Name)
		case err != nil && (common.AsRefusal(err).Reason == common.ReasonSoftwareGone) == possible:
			t.Fatalf("refused with %v, an engine may have the version: %v", err, possible)
		}
	})
}

// Guards against a stream that is taken from a silent engine although no other engine runs its version: it would wait for the
// silent one all the same, and be prefilled once more.
func TestSilentStreamStaysWithoutItsSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		other  string
		tokens int
		want   bool
	}{{"1", 1, true}, {"2", 1, false}, {"2", 0, true}} {
		tab := Table{}
		tab.Configure([]EndpointSpec{{Name: "a", Service: "llm", Software: "1"}, {Name: "b", Service: "llm", Software: c.other}})
		s := tab.StartStream(&Request{Service: "llm", OutputTokens: 100}, tab.Endpoint("a"), epoch)
		if c.tokens > 0 {
			tab.RecordTokens(s, c.tokens, epoch)
		}
		if got := tab.ReserveReplacement(s, nil, epoch.Add(time.Second)); got != c.want {
			t.Errorf("%d tokens, the other engine has version %s: given up %t, want %t", c.tokens, c.other, got, c.want)
		}
	}
}

// Guards against a move off a slowed engine whose version no other engine runs: it would only interrupt the stream.
func TestMovesStayWithinTheSoftwareVersion(t *testing.T) {
	for _, other := range []string{"1", "2"} {
		tab := Table{Budget: &Budget{}}
		cfg := specs(4, 8)
		for i := range cfg {
			cfg[i].Software = "2"
		}
		cfg[0].Software, cfg[1].Software = "1", other
		tab.Configure(cfg)
		var streams []*Stream
		for _, e := range tab.Endpoints() {
			streams = append(streams, tab.StartStream(&Request{ID: e.Name, Service: "dente", OutputTokens: 2000, Idempotent: true}, e, epoch))
		}
		moves := 0
		for ms := 20; ms <= 12000; ms += 20 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			for i, s := range streams {
				if i > 0 || ms%200 == 0 {
					tab.RecordTokens(s, 1, now)
				}
			}
			tab.Tick(now)
			moves += len(tab.ProposeMoves(now))
		}
		if want := map[string]int{"1": 1, "2": 0}[other]; moves != want {
			t.Errorf("%d moves off the engine of version 1 beside one of version %s, want %d", moves, other, want)
		}
	}
}
