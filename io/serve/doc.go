// Package serve has the helpers that the server processes share: listeners with a bound on connections, HTTP servers
// and loops in a run group, JSON responses and cancellable sleeps.
package serve
