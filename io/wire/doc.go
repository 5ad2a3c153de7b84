// Package wire exchanges CBOR messages, called frames, between the processes of the system. They travel over WebSocket
// connections, called links, with heartbeats in both directions.
package wire
