// Package tunnel opens connections to endpoints, also through another process of the system: a process that cannot reach an endpoint
// asks one that can, a carrier, to connect to it and to pass the bytes on. The process that asked still decides everything about its
// requests.
package tunnel
