// Package ctrl runs the control process. It replicates the configuration and the call ledger with Raft, distributes the
// configuration to the routers, sends load and unload orders to engines and serves the operator API.
package ctrl
