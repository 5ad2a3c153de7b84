// Package keeper implements the process that stores the configuration. Keepers replicate it as complete versioned
// states with Raft and send new states to the relays. They also read the platform's list of endpoints on behalf of all
// processes and track which relays callers may use.
//
// The group bootstraps itself from a few seed addresses: all keepers of the first start derive the same initial voters
// from them, and every keeper that starts later joins the group.
package keeper
