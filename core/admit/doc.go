// Package admit is a router's admission control and scheduler. It refuses requests that are predicted to start too
// late, queues the others fairly by client account, enforces this router's share of each account's limits, predicts
// output lengths, and lowers the priority of requests that run much longer than average (stragglers).
package admit
