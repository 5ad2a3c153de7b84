// Package origin records which software version of an endpoint began the stream of a caller's attempt, so that a stream which its
// caller takes up again at any relay goes on at that version: what two versions generate does not fit together.
//
// A record is made when the first event is forwarded, and never changes its version. The tables of all processes are merged, in any
// order and more than once; a table that has lost records does not know the origin of some streams, but names no wrong one.
// Versions are what has been listed lately: while only one has been, a stream without a known origin can go on. A process that was cut off
// or stood still holds an old list, so that answer needs one that was read after the caller came.
package origin
