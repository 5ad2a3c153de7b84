package orders

import (
	"cmp"
	"time"

	"wasabiweir/core/object"
)

// Copy identifies a version of a model or adapter. An engine that has it loaded holds a copy of it.
type Copy struct {
	// Kind is object.KindModel or object.KindAdapter.
	Kind    object.Kind
	Name    string
	Version string
}

// String returns the copy as kind/name@version.
func (c Copy) String() string { return string(c.Kind) + "/" + c.Name + "@" + c.Version }

// ref returns the model or adapter without its version.
func (c Copy) ref() object.Ref { return object.Ref{Kind: c.Kind, Name: c.Name} }

// compare orders copies by kind, name and version.
func (c Copy) compare(other Copy) int {
	return cmp.Or(cmp.Compare(c.Kind, other.Kind), cmp.Compare(c.Name, other.Name), cmp.Compare(c.Version, other.Version))
}

// Action is the operation that an order requests from an engine.
type Action string

// The actions of orders.
const (
	ActionLoadModel     Action = "load-model"
	ActionUnloadModel   Action = "unload-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order requests one operation from an engine.
type Order struct {
	// ID is unique among the orders of a Planner.
	ID       uint64
	Endpoint string
	Address  string
	Action   Action
	Copy     Copy
	// Bytes is the size of the weights that a load reads from the weight store.
	Bytes int64
	// Role is the role to take, for ActionSetRole.
	Role    string
	Fencing Fencing
	// NotAfter is the time at which the leader's lease expires; the sender checks it immediately before sending the
	// order.
	NotAfter time.Time
}

// loads reports whether the action loads a copy.
func (a Action) loads() bool { return a == ActionLoadModel || a == ActionLoadAdapter }

// unloads reports whether the action unloads a copy.
func (a Action) unloads() bool { return a == ActionUnloadModel || a == ActionUnloadAdapter }

// loadAction returns the action that loads a copy of this kind.
func loadAction(c Copy) Action {
	if c.Kind == object.KindAdapter {
		return ActionLoadAdapter
	}
	return ActionLoadModel
}

// unloadAction returns the action that unloads a copy of this kind.
func unloadAction(c Copy) Action {
	if c.Kind == object.KindAdapter {
		return ActionUnloadAdapter
	}
	return ActionUnloadModel
}

// Reply is an engine's reply to an order, or the lack of one.
type Reply string

// The replies to orders.
const (
	// ReplyAccepted means that the engine is executing the order; later reads of the engine show when it is done.
	ReplyAccepted Reply = "accepted"
	// ReplyDone means that the engine has executed the order.
	ReplyDone Reply = "done"
	// ReplyFailed means that the engine rejected the order or did not reply; it may have executed the order
	// nevertheless.
	ReplyFailed Reply = "failed"
	// ReplyFenced means that the engine rejected the order because it has accepted an order of a newer leader.
	ReplyFenced Reply = "fenced"
)

// Drift is an unexpected difference between the copies that an engine had at one read and at the next, not caused by an
// order of this leader: an order of an earlier leader took effect, or the engine restarted.
type Drift struct {
	Endpoint string
	Copy     Copy
	// Appeared says whether the copy appeared on the engine; if false, it disappeared.
	Appeared bool
}

// BlockReason is the reason why the plan omits a necessary operation.
type BlockReason string

// The reasons in BlockedOperation.Reason.
const (
	// BlockLastCopy means that an unload would leave too few verified copies of a version in use.
	BlockLastCopy BlockReason = "last-copy"
	// BlockNoEngine means that fewer live engines have room for the copy than the intents ask for.
	BlockNoEngine BlockReason = "no-engine"
	// BlockWeightStore means that a load is delayed by the rate limit of the weight store.
	BlockWeightStore BlockReason = "weight-store"
)

// BlockedOperation is a necessary operation that the plan omits for now, such as a load or an unload.
type BlockedOperation struct {
	Endpoint string
	Copy     Copy
	Reason   BlockReason
	// MissingEngines is the number of further engines that are needed for the copy, for BlockNoEngine.
	MissingEngines int
}

// Plan is the result of Planner.Plan.
type Plan struct {
	// Orders holds the orders to send now, at most one for each engine.
	Orders  []Order
	Blocked []BlockedOperation
}
