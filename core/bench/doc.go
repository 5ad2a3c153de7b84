// Package bench simulates the admission and routing code of core/admit and core/route on a virtual clock, with fake
// engines, load reports and exchanges between routers, and compares it with baseline policies on the same requests.
package bench
