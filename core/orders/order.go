package orders

import (
	"cmp"
	"time"

	"wasabiweir/core/object"
)

// VersionCopy identifies a version of a model or adapter. Each engine that has loaded that version holds one copy of
// its weights.
type VersionCopy struct {
	// Kind is object.KindModel or object.KindAdapter.
	Kind    object.Kind
	Name    string
	Version string
}

// String returns the version of the model or adapter as kind/name@version.
func (c VersionCopy) String() string { return string(c.Kind) + "/" + c.Name + "@" + c.Version }

// ref returns the reference to the model or adapter without its version.
func (c VersionCopy) ref() object.Ref { return object.Ref{Kind: c.Kind, Name: c.Name} }

// compare orders copies by kind, name and version and returns a negative number, zero or a positive number.
func (c VersionCopy) compare(other VersionCopy) int {
	return cmp.Or(cmp.Compare(c.Kind, other.Kind), cmp.Compare(c.Name, other.Name), cmp.Compare(c.Version, other.Version))
}

// Action is the operation that an order requests from an engine: to load or unload a model or adapter, or to take a
// role.
type Action string

// The actions that orders to model engines request.
const (
	ActionLoadModel     Action = "load-model"
	ActionUnloadModel   Action = "unload-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order requests one operation from a model engine, such as to load a version of a model.
type Order struct {
	// ID is unique among the orders that one Planner returns.
	ID       uint64
	Endpoint string
	Address  string
	Action   Action
	Copy     VersionCopy
	// Bytes is the size of the weights that a load reads from the weight store.
	Bytes int64
	// Role is the role that the engine shall take, such as prefill or decode; it is set for ActionSetRole.
	Role    string
	Fencing Fencing
	// NotAfter is the time at which the lease of the leader that planned the order expires; the sender checks it
	// immediately before sending the order.
	NotAfter time.Time
}

// isLoad reports whether the action loads a model or adapter on an engine.
func (a Action) isLoad() bool { return a == ActionLoadModel || a == ActionLoadAdapter }

// isUnload reports whether the action unloads a model or adapter from an engine.
func (a Action) isUnload() bool { return a == ActionUnloadModel || a == ActionUnloadAdapter }

// loadAction returns the action that loads the copy: ActionLoadAdapter for an adapter, else ActionLoadModel.
func loadAction(c VersionCopy) Action {
	if c.Kind == object.KindAdapter {
		return ActionLoadAdapter
	}
	return ActionLoadModel
}

// unloadAction returns the action that unloads the copy: ActionUnloadAdapter for an adapter, else ActionUnloadModel.
func unloadAction(c VersionCopy) Action {
	if c.Kind == object.KindAdapter {
		return ActionUnloadAdapter
	}
	return ActionUnloadModel
}

// Reply is an engine's reply to an order, or ReplyFailed if the engine did not reply.
type Reply string

// The replies of engines to orders.
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

// Drift is a model or adapter version that an engine unexpectedly gained or lost between two reads of the engine. No
// order of this leader caused it: an order of an earlier leader took effect, or the engine restarted.
type Drift struct {
	Endpoint string
	Copy     VersionCopy
	// Appeared says whether the copy appeared on the engine; if false, it disappeared.
	Appeared bool
}

// BlockReason is the reason why a plan omits an operation on an engine that is necessary.
type BlockReason string

// The reasons in BlockedOperation.Reason.
const (
	// BlockLastCopy means that an unload would leave too few engines with a verified copy, one that a recent read of the
	// engine shows, of a model or adapter version that is in use.
	BlockLastCopy BlockReason = "last-copy"
	// BlockNoEngine means that fewer live engines have room for a model or adapter version than the intents ask for.
	BlockNoEngine BlockReason = "no-engine"
	// BlockWeightStore means that a load is delayed by the rate limit of the weight store.
	BlockWeightStore BlockReason = "weight-store"
)

// BlockedOperation is a necessary operation that the plan omits for now, such as the load or unload of a model on an
// engine.
type BlockedOperation struct {
	Endpoint string
	Copy     VersionCopy
	Reason   BlockReason
	// MissingEngines is the number of further engines that are needed to load the version, for BlockNoEngine.
	MissingEngines int
}

// Plan is the result of Planner.Plan: the orders to send to the engines now, and the operations that have to wait.
type Plan struct {
	// Orders holds the orders to send now, at most one for each engine.
	Orders  []Order
	Blocked []BlockedOperation
}
