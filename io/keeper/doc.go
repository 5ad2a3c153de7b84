// Package keeper runs the process that keeps the configuration as whole versioned states: it replicates them, feeds them
// to the relays, reads the platform's list of endpoints for all, and knows which relays callers may use.
//
// The group forms itself from a few seeds. All keepers of the first start derive the same first voters from them; every
// other keeper joins.
package keeper
