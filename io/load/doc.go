// Package load is an open-loop load generator: it sends generations and service calls to running routers and verifies
// every reply.
package load
