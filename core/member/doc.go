// Package member tracks the routers of the system and divides account limits among them.
//
// # Instances
//
// A router is live while its reports arrive. The platform's instance list lags behind, so it does not decide whether a
// router is live; it only tells which silent routers may still run, and which instances are leaving. A silent router
// that is in the list, or that reported within ForgetAfter, may still serve callers. A configuration change therefore
// waits for its confirmation too.
//
// # Account shares
//
// A share is a part of an account's limit, in millionths, so that a change of the limit needs no new shares. It has two
// portions, the floor and the extra share. Each router that may run holds a floor of 1/(2 x routers) without a lease.
// The extra share is leased, and is taken in proportion to demand from what all floors together leave. A router whose
// lease has ended falls back to its floor, which cannot raise the sum.
//
// The lease is measured on the router's clock from the time at which it sent the report that the shares answer, so a
// delay of messages only shortens it. A leader answers a report only if a quorum has confirmed the leadership in a
// round that started after the report arrived. A new leader waits for one lease plus a margin for clock drift. The
// leases of two leaders therefore do not overlap.
//
// The number of routers is rounded up to a power of two, so that floors stay the same when a few routers are added or
// removed. Divider.MinRouters covers routers from which a new leader has had no report; it is the number of instances
// that may run a router.
package member
