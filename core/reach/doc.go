// Package reach tells endpoints that are down from endpoints that only this process cannot reach, and decides whether a connection
// to an endpoint is opened by the process itself or carried by another process of the system. Whether an endpoint can be reached is
// a property of a pair of a process and an endpoint.
package reach
