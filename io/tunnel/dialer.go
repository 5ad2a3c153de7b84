package tunnel

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/reach"
)

const (
	// dialTimeout bounds a direct connection. Within a region one takes a few milliseconds; an endpoint whose host is unreachable does
	// not respond at all.
	dialTimeout = 250 * time.Millisecond
	// secondDialDelay is the time after which a second connection is dialled in parallel to the first: the kernel resends a lost SYN
	// only after a second.
	secondDialDelay = 40 * time.Millisecond
	// carrierDelay is the time after which a further carrier is asked while the attempts before have no result.
	carrierDelay = 40 * time.Millisecond
	// maxAsked bounds the carriers that are asked at the same time for all connections. With hundreds of endpoints that do not respond,
	// probes would otherwise open thousands of connections, each of which waits for its carrier.
	maxAsked = 64
)

// ErrCutOff is returned for a connection that failed while this process is cut off from all endpoints, which shows nothing about the
// endpoint.
var ErrCutOff = eris.New("this process is cut off from the endpoints")

// ErrNoCarrier wraps ErrCutOff if no other process carries connections now, so that those to other endpoints would fail too.
var ErrNoCarrier = fmt.Errorf("%w, and no other process connects it", ErrCutOff)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to endpoints, itself or through carriers. Its exported fields are set before Init.
type Dialer struct {
	// Key is the secret that all processes of the system share.
	Key string
	// Domain is the failure domain of this process.
	Domain string
	// DialDirect opens a connection to an endpoint from this process; nil means with the operating system.
	DialDirect DialFunc
	// OnCutOff is called when this process finds that it is cut off from all endpoints, or no longer is; nil means not at all. It must
	// not block.
	OnCutOff func(cutOff bool)
	// OnOutOfReach is called when the endpoint at the address is found out of reach, so that what failed there was no fault of the
	// endpoint; nil means not at all. It must not block.
	OnOutOfReach func(address string)
	Clock        clock.Clock
	Log          *zap.Logger
	// Metrics counts connections through carriers; nil means that nothing counts them.
	Metrics tally.Scope

	// id names this process to carriers.
	id string
	// presences are the connections that show carriers that this process is in their reach, by the carrier's peer address. presenceMu
	// guards them, and closed, which is true once no further connections are needed.
	presenceMu sync.Mutex
	presences  map[string]*presence
	closed     bool
	// asked has an element for each carrier that is being asked.
	asked chan struct{}

	mu     sync.Mutex
	table  reach.Table
	cutOff bool
}

// Init prepares the dialer for use.
func (d *Dialer) Init() {
	if d.DialDirect == nil {
		d.DialDirect = (&net.Dialer{}).DialContext
	}
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	d.asked = make(chan struct{}, maxAsked)
	d.id, d.presences = cryptorand.Text(), map[string]*presence{}
	d.table.Domain, d.table.Rand = d.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// SetCarriers sets the processes that may carry connections; this process must not be among them.
func (d *Dialer) SetCarriers(list []reach.Carrier) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetCarriers(list)
}

// IsCutOff reports whether this process is cut off from all endpoints.
func (d *Dialer) IsCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsCutOff(d.Clock.Now())
}

// IsOutOfReach reports whether the endpoint at the address is up and this process cannot connect to it.
func (d *Dialer) IsOutOfReach(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsOutOfReach(address, d.Clock.Now())
}

// IsUsable reports whether a connection to the endpoint at the address may be used for another request: a direct one unless it was
// opened before the endpoint fell out of reach, and a carried one while the endpoint is out of reach and the carrier stays.
func (d *Dialer) IsUsable(nc net.Conn, address string, opened time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if c, ok := nc.(*Conn); ok {
		usable := d.table.IsCarrier(c.Carrier) && (d.table.IsOutOfReach(address, now) || d.table.IsCutOff(now))
		if usable && d.table.TakeProbe(now) {
			// While connections are used again, no others are opened that would show whether the cut goes on.
			go (&directProbe{dialer: d, address: address}).run()
		}
		return usable
	}
	return !d.hangs(address, opened, now)
}

// directProbe is a direct connection that only shows whether an endpoint is out of reach.
type directProbe struct {
	dialer  *Dialer
	address string
}

// run opens and closes the connection and records the result.
func (p *directProbe) run() {
	nc, err := p.dialer.dialDirect(context.Background(), "tcp", p.address, dialTimeout)
	p.dialer.recordDirect(p.address, resultOf(context.Background(), err))
	if err == nil {
		_ = nc.Close()
	}
}

// Hangs reports whether a connection that was opened to the address at the given time is dead because the endpoint has since fallen out
// of reach.
func (d *Dialer) Hangs(nc net.Conn, address string, opened time.Time) bool {
	if _, ok := nc.(*Conn); ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hangs(address, opened, d.Clock.Now())
}

// MayHaveHung reports whether the silence on a connection that was in use since the given time may come from a cut, or from its carrier, and
// not from the endpoint.
func (d *Dialer) MayHaveHung(nc net.Conn, since time.Time) bool {
	if _, ok := nc.(*Conn); ok {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.HasHungSince(since)
}

// hangs does what Hangs does for a direct connection. The caller must hold mu.
func (d *Dialer) hangs(address string, opened, now time.Time) bool {
	since, hangs := d.table.HangsSince(address, now)
	return hangs && opened.Before(since)
}

// DialContext opens a connection to the endpoint at the address: directly, or through carriers if that fails or takes long. It fails
// with ErrCutOff if nothing shows whether the endpoint is up, and with ErrNoCarrier if that is so for all endpoints.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.table.Plan(address, d.Clock.Now())
	d.mu.Unlock()
	if plan.IsHopeless() {
		return nil, ErrNoCarrier
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &race{dialer: d, network: network, address: address, plan: plan, cancel: cancel, out: make(chan *attempt)}
	return r.run(ctx)
}

// dialDirect opens a connection from this process. If it is not established within secondDialDelay, a second one is dialled in parallel
// and the first to succeed is returned.
func (d *Dialer) dialDirect(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	out := make(chan *directDial, 2)
	pending := 1
	go (&directDial{}).run(ctx, d.DialDirect, network, address, out)
	t := time.NewTimer(secondDialDelay)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			pending++
			go (&directDial{}).run(ctx, d.DialDirect, network, address, out)
		case o := <-out:
			pending--
			if o.err != nil && pending > 0 {
				continue
			}
			cancel()
			if pending > 0 {
				go (&lateDialCloser{out: out}).run()
			}
			return o.conn, o.err
		}
	}
}

// directDial is one of the up to two connections to an endpoint that are dialled in parallel.
type directDial struct {
	conn net.Conn
	err  error
}

// run dials the address and sends the finished dial to the channel out.
func (o *directDial) run(ctx context.Context, dial DialFunc, network, address string, out chan<- *directDial) {
	o.conn, o.err = dial(ctx, network, address)
	out <- o
}

// lateDialCloser waits for the slower of two parallel dials and closes its connection.
type lateDialCloser struct{ out <-chan *directDial }

// run closes the connection of the next dial that completes.
func (l *lateDialCloser) run() {
	if o := <-l.out; o.conn != nil {
		_ = o.conn.Close()
	}
}

// resultOf returns what the error of a direct connection shows. The end of ctx, the context of the request, shows nothing.
func resultOf(ctx context.Context, err error) reach.Result {
	var timeout net.Error
	switch {
	case err == nil:
		return reach.Connected
	case ctx.Err() != nil:
		return reach.Unknown
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH), errors.Is(err, context.DeadlineExceeded),
		errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return reach.Silent
	}
	return reach.Unknown
}

// recordDirect records the result of a direct connection.
func (d *Dialer) recordDirect(address string, r reach.Result) {
	d.record(address, func(t *reach.Table, now time.Time) bool { return t.RecordDirect(address, r, now) })
}

// record changes the table of endpoints, and logs and counts the beginning and the end of a cut. The function change reports whether the
// endpoint at the address has just been found out of reach.
func (d *Dialer) record(address string, change func(t *reach.Table, now time.Time) (out bool)) {
	d.mu.Lock()
	now := d.Clock.Now()
	out := change(&d.table, now)
	cutOff := d.table.IsCutOff(now)
	changed := cutOff != d.cutOff
	d.cutOff = cutOff
	d.mu.Unlock()
	if out {
		d.Metrics.Counter("endpoints-out-of-reach").Inc(1)
		d.Log.Info("endpoint-out-of-reach", zap.String("address", address))
	}
	if out && d.OnOutOfReach != nil {
		d.OnOutOfReach(address)
	}
	if !changed {
		return
	}
	if cutOff {
		d.Metrics.Counter("endpoint-cuts").Inc(1)
		d.Log.Warn("endpoints-cut-off")
	} else {
		d.Log.Info("endpoints-reached-again")
	}
	if d.OnCutOff != nil {
		d.OnCutOff(cutOff)
	}
}

// count increments the counter of attempts to open a connection through a carrier.
func (d *Dialer) count(result string) {
	d.Metrics.Tagged(map[string]string{"result": result}).Counter("carried-connections").Inc(1)
}

// mayJudge reports whether this process may tell others that an endpoint is down.
func (d *Dialer) mayJudge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.MayJudge(d.Clock.Now())
}

// recordDown records that several carriers have found the endpoint at the address down.
func (d *Dialer) recordDown(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordDown(address, d.Clock.Now())
}
