// Package route selects an endpoint for each request. It tracks the load, health and failures of each endpoint and
// which prompt prefixes its cache holds, limits retries and hedges by a budget, and proposes streams to move off slow
// endpoints.
package route
