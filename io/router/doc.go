// Package router implements the process that serves callers: it admits their requests, routes them to model engines
// and plain services, continues generations after failures, and follows the configuration that the control process
// publishes.
package router
