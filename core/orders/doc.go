// Package orders plans which orders to send to the model engines, from the declared configuration objects and the state
// that is read from the engines.
//
// Orders are declarative and idempotent: an order names what an engine shall have loaded, and the plan is computed
// again on each tick from the state that the engines report. If an order of an earlier leader still takes effect, the
// next read of the engine shows a difference and the next plan corrects it.
//
// # Leaders
//
// Each order carries the leader's fencing number. An engine that checks fencing numbers rejects an order with a lower
// number than one it has accepted. To an engine that does not check them, a new leader sends nothing until the lease of
// its predecessor has expired, with a margin for clock drift, and a leader sends nothing after its own lease. A process
// that is paused between checking the lease and the write of the order can still send it late; only the next read of the
// engine detects that.
//
// # Unloading
//
// A copy of a version in use is unloaded only to make room for another load, and only while enough other copies are
// verified. A copy is verified if the engine's state was read within MaxStateAge, after the last order to that engine
// and after the leader was first allowed to send orders to the engine. A copy does not count for OrderTimeout after an
// unload of it failed, because the engine may still execute that unload. A copy on an engine that checks fencing
// numbers counts only once the engine has accepted an order of this leader; until then the engine would still accept an
// unload from the previous leader, so the plan first repeats a load of what the engine already has.
//
// The current version of a model or adapter is in use when an intent refers to it. An older version is in use until the
// current one has as many copies as the intents ask for. To make room for the current version on full engines, an older
// copy may be unloaded if, of the copies that the intents ask for and counting all versions, at most one is missing
// afterwards and at least one remains.
package orders
