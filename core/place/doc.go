// Package place chooses the endpoint and the holder of the backup of each request, remembers which endpoints failed, and
// bounds the arrivals beyond the first of each request. It has no clock; callers pass the time in.
package place
