// Package poison finds the prompt parts and the whole requests that crash engines, so that such requests are kept away from
// engines.
//
// A request without prompt parts has one part, its fingerprint, so that it is known when it comes again.
//
// The evidence is a set of crashes: engines that were lost just after they began to answer a request. A part is
// quarantined when several crashes share it and no request with it has been answered since. Every process decides by
// itself on the same set; the sets of all processes are merged, in any order and more than once.
package poison
