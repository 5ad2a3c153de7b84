// Package metric records counters and timers with the tally library and exposes them in the Prometheus text format.
package metric
