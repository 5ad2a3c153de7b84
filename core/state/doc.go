// Package state holds the configuration as whole versioned states: routes, services, limits and client accounts.
//
// An operator puts a whole state under a version. A state is checked as a whole, the highest version is in force, and a
// state of a lower or equal version changes nothing. The document of a state is kept as the operator sent it; a Decoder
// reads it, so that this package knows no format.
package state
