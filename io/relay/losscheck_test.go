package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// An endpoint that just lost a response must not count as lost, nor one that ends as alive; and the losses of many requests at
// once must cost one new connection, which is used again.
func TestLossCheck(t *testing.T) {
	for _, x := range []struct {
		name                string
		listens, closesSoon bool
		lost, refused       bool
		idle                int
	}{
		{"alive", true, false, false, false, 1},
		{"ending", true, true, true, false, 0},
		{"ended", false, false, true, true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, err := net.Listen("tcp", net.JoinHostPort(stand.LoopbackHost(), "0"))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var accepted atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted.Add(1)
					if x.closesSoon {
						_ = c.Close()
					}
				}
			}()
			if !x.listens {
				_ = l.Close()
			}
			r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), ctx: t.Context()}
			r.meter.initMetrics(nil)
			r.pool.initPool(r)
			r.losses.initLossChecker(r)
			e := place.Endpoint{ID: "e", Address: l.Addr().String()}
			since := time.Now()
			var wg sync.WaitGroup
			for range 50 {
				wg.Go(func() {
					c := r.losses.check(e, since)
					<-c.done
					if c.lost != x.lost || c.refused != x.refused {
						t.Errorf("lost: %t, refused: %t", c.lost, c.refused)
					}
				})
			}
			wg.Wait()
			if n := accepted.Load(); n > 2 {
				t.Errorf("%d connections, want one, or two if the first is slow", n)
			}
			if n := len(r.pool.idleConns[e.ID]); n != x.idle {
				t.Errorf("%d connections are kept", n)
			}
		})
	}
}
