package ctrl

import (
	"fmt"
	"strings"

	"wasabiweir/core/orders"
	"wasabiweir/io/engine"
)

// describeModels lists an engine's models or adapters as name@version, with the state of those that are not ready.
func describeModels(items []engine.OrderItem) string {
	parts := make([]string, 0, len(items))
	for _, i := range items {
		text := i.Name
		if i.Version != "" {
			text += "@" + i.Version
		}
		if i.State != engine.StateReady {
			text += " (" + i.State + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

// describeBlockedOperation says for operators why the planner holds back the load or unload of a model or adapter.
func describeBlockedOperation(b orders.BlockedOperation) string {
	switch b.Reason {
	case orders.BlockNoEngine:
		return fmt.Sprintf("%s lacks %d live engines with room", b.Copy, b.MissingEngines)
	case orders.BlockWeightStore:
		return fmt.Sprintf("the load of %s to %s waits for the weight store", b.Copy, b.Endpoint)
	default:
		return fmt.Sprintf("%s stays on %s: too few other copies are verified", b.Copy, b.Endpoint)
	}
}

// engineProblems lists the engines that do not answer the leader of the Raft group config, and the loads and unloads
// of models and adapters that the planner holds back.
func engineProblems(g *GroupStatus) []string {
	var out []string
	for _, e := range g.Engines {
		if !e.Answers {
			out = append(out, fmt.Sprintf("engine %s does not answer the control process", e.Name))
		}
	}
	return append(out, g.Blocked...)
}
