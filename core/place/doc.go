// Package place chooses the endpoint of each request and the endpoint that holds the copy of its KV cache, tracks which
// endpoints failed, and limits retries. It reads no clock; callers pass the current time.
package place
