// Package state holds the configuration as complete, versioned states: routes, services, limits and client accounts.
//
// An operator submits a complete state with a version. The state is validated as a whole, and the state with the
// highest version is in force; a state with a lower or equal version changes nothing. The document of a state is kept
// as the operator sent it and is parsed by a Decoder, so this package does not depend on the document format.
package state
