package router

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/stream"
	"wasabiweir/io/wall"
	"wasabiweir/io/wire"
)

// newUnlinkedRouter returns a router with the parts that connect it to others, none of which it knows.
func newUnlinkedRouter(t *testing.T, name string) *Router {
	r := &Router{Name: name, PeerKey: "a-key-for-this-test", Clock: wall.Clock{}, Log: zap.NewNop()}
	r.peers.initConnections(t.Context(), r)
	r.journal.initHolder(r)
	r.initCrashes()
	return r
}

// Guards against a generation whose only journal is at a router that has just started and is not connected to the others yet:
// the loss of that router ends it.
func TestJournalOfNewRouterHasThreeHolders(t *testing.T) {
	r := newUnlinkedRouter(t, "router-0")
	list := []wire.Report{{Name: r.Name}}
	for i := range 2 {
		o := newUnlinkedRouter(t, fmt.Sprint("router-", i+1))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := o.newPeerServer()
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
		list = append(list, wire.Report{Name: o.Name, PeerAddress: l.Addr().String()})
	}
	time.AfterFunc(50*time.Millisecond, func() { r.peers.setLiveRouters(list) })
	r.journal.awaitHolders(t.Context())
	if n := len(r.journal.chooseHolders("g").Members); n != stream.HolderCount {
		t.Errorf("the journal has %d holders, want %d", n, stream.HolderCount)
	}
}

// Guards against generations that wait at a router which is alone.
func TestLoneRouterDoesNotWaitForHolders(t *testing.T) {
	r := newUnlinkedRouter(t, "router-0")
	r.peers.setLiveRouters([]wire.Report{{Name: r.Name}})
	ctx, cancel := context.WithTimeout(t.Context(), maxHolderWait/2)
	defer cancel()
	if r.journal.awaitHolders(ctx); ctx.Err() != nil {
		t.Error("the router waits for others although none is listed")
	}
}
