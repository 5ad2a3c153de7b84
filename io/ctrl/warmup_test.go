package ctrl

import (
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/io/wire"
)

// Guards against a control process that sends an incomplete list of routers because it has just started and not all
// routers have connected to it or to the other control processes.
func TestNoRouterListDuringWarmup(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	c := &Control{Name: "control-1", Clock: now, peers: map[string]*wire.Peer{"control-2": {}}}
	c.config = &configMachine{control: c}
	c.feeds.initFeeds(c)
	c.routers.initRegistry(c)
	c.routers.recordReport(wire.Report{Name: "router-1", Incarnation: 1, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Fresh: true})
	c.routers.publishRouterList()
	if n := len(c.routers.lastSent.Reports); n != 0 {
		t.Fatalf("%d routers are listed during the warm-up, want 0", n)
	}
	now.Advance(registryWarmup)
	c.routers.recordReport(wire.Report{Name: "router-1", Incarnation: 1, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Fresh: true})
	c.routers.publishRouterList()
	if n := len(c.routers.lastSent.Reports); n != 1 {
		t.Fatalf("%d routers are listed after the warm-up, want 1", n)
	}
}
