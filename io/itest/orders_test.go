package itest

import (
	"context"
	"fmt"
	"testing"

	"wasabiweir/io/engine"
)

// versionChange returns a change that sets the model's version and declares that the engines ignore fencing numbers.
func (s *system) versionChange(version string) string {
	objects := []map[string]any{{"kind": "model", "name": "dente", "service": "dente-llm", "version": version}}
	for i, a := range s.engineAddresses {
		objects = append(objects, engineObject(i, a, false))
	}
	return encodeChange(s.t, map[string]any{"objects": objects})
}

// checkModelLoaded returns an error unless the status shows the model on each engine.
func (s *system) checkModelLoaded(model string) error {
	st, err := s.statusAt(s.operatorAddresses)
	if err != nil {
		return err
	}
	if len(st.Engines) != len(s.engineAddresses) {
		return fmt.Errorf("%d engines, want %d", len(st.Engines), len(s.engineAddresses))
	}
	for _, e := range st.Engines {
		if e.Models != model {
			return fmt.Errorf("engine %s has %q, want %q", e.Name, e.Models, model)
		}
	}
	return nil
}

// Guards against orders that are lost when the leader changes, and against a delayed order of the old leader that stays
// in effect at an engine that ignores fencing numbers.
func TestOrdersAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 1, engines: 3, engineArgs: []string{"-checks-fencing=false", "-order-latency", "2s"}})
	s.apply(s.versionChange("2"))
	eventually(t, startTimeout, func() error { return s.checkModelLoaded("dente@2 (loading)") })
	leader := s.leaderIndex()
	before, err := (&engine.Client{Address: s.engineAddresses[0]}).ReadOrders(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.controls[leader].kill()
	eventually(t, startTimeout, func() error { return s.checkModelLoaded("dente@2") })

	s.apply(s.versionChange("3"))
	eventually(t, startTimeout, func() error { return s.checkModelLoaded("dente@3") })
	late := engine.Order{Fencing: before.Fencing, Action: engine.ActionLoadModel, Model: "dente", Version: "2"}
	for _, a := range s.engineAddresses {
		if _, err := (&engine.Client{Address: a}).SendOrder(context.Background(), late); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, startTimeout, func() error {
		if s.checkModelLoaded("dente@3") == nil {
			return fmt.Errorf("the late order has no effect yet")
		}
		return nil
	})
	eventually(t, startTimeout, func() error { return s.checkModelLoaded("dente@3") })
	s.controls[leader].launch()
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
}
