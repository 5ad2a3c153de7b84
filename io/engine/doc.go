// Package engine is an HTTP client for model engines: generations, load reports, control orders and prefix cache
// events.
package engine
