package ctrl

import (
	"strings"
	"testing"

	"wasabiweir/io/wire"
)

// Guards against a status that shows a slowed engine as healthy, or that repeats the problem for each router that
// observes it.
func TestStatusShowsSlowedEngines(t *testing.T) {
	s := Status{Engines: []EngineStatus{{Name: "engine-1", Health: 1}, {Name: "engine-2", Health: 1}}}
	s.applyRouterHealth(wire.Report{Name: "router-1", Endpoints: map[string]float64{"engine-2": 0.4}})
	s.applyRouterHealth(wire.Report{Name: "router-2", Endpoints: map[string]float64{"engine-2": 0.3, "engine-9": 0.1}})
	if s.Engines[0].Health != 1 || s.Engines[1].Health != 0.3 || len(s.Problems) != 1 {
		t.Fatalf("engines %v, problems %v", s.Engines, s.Problems)
	}
}

// Guards against a process that refuses changes for lack of room on its disk without a word in its status.
func TestStatusShowsShortDisk(t *testing.T) {
	c := &Control{}
	g := GroupStatus{Name: "config", Leader: "a", SpaceShort: true}
	if out := c.groupProblems(g); len(out) != 1 || !strings.Contains(out[0], "too little room") {
		t.Errorf("problems are %q", out)
	}
}
