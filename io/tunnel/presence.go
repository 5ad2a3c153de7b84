package tunnel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/reach"
	"wasabiweir/io/serve"
)

const (
	// askerHeader names the process that asks for a connection, by a random id.
	askerHeader = "Wasabiweir-Asker"
	// presenceAddress is the address in the request for a connection that is not passed on: it shows the carrier that the process which
	// asked is still in reach.
	presenceAddress = "presence"
	// presenceInterval is the time between two bytes that a carrier sends on such a connection.
	presenceInterval = 100 * time.Millisecond
	// presenceTimeout is the time in which the kernel of the process that asked must acknowledge one. It does so also while that process
	// stands still. A process that has lost its carrier sends a stream to another endpoint, mostly 0.4 s later, where it must not go on
	// for long while the first endpoint works on.
	presenceTimeout = 600 * time.Millisecond
	// presenceLinger is how long a process keeps the connection after the last one that the carrier passes on has ended.
	presenceLinger = 2 * time.Second
	// presenceRetryInterval is the pause before the next attempt to open the connection.
	presenceRetryInterval = 500 * time.Millisecond
)

// askerTable holds the connections that a carrier passes on by the process that asked for them.
type askerTable struct {
	mu    sync.Mutex
	pipes map[string]map[*pipe]bool
}

// add records a connection of the process, until remove.
func (t *askerTable) add(asker string, p *pipe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pipes == nil {
		t.pipes = map[string]map[*pipe]bool{}
	}
	if t.pipes[asker] == nil {
		t.pipes[asker] = map[*pipe]bool{}
	}
	t.pipes[asker][p] = true
}

// remove removes a connection that has ended.
func (t *askerTable) remove(asker string, p *pipe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if delete(t.pipes[asker], p); len(t.pipes[asker]) == 0 {
		delete(t.pipes, asker)
	}
}

// end ends all connections of the process and returns their number.
func (t *askerTable) end(asker string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p := range t.pipes[asker] {
		p.close()
	}
	return len(t.pipes[asker])
}

// watchAsker ends the connections of a process that asked for them once it is out of this carrier's reach: their ends do not arrive then, and
// the endpoints would work on.
func (s *Server) watchAsker(w http.ResponseWriter, r *http.Request) {
	peer := s.takeOver(w)
	if peer == nil {
		return
	}
	defer func() { _ = peer.Close() }()
	if err := serve.LimitUnacknowledged(peer, presenceTimeout); err != nil {
		s.Dialer.Log.Warn("asker-not-watched", zap.Error(err))
		return
	}
	defer context.AfterFunc(r.Context(), func() { _ = peer.Close() })()
	b := &presenceBeat{peer: peer, failed: make(chan error, 1)}
	go b.run()
	_, readErr := peer.Read(make([]byte, 1))
	_ = peer.Close()
	// The kernel reports the failure once, to the one who comes first.
	if !isOutOfReach(readErr) && !isOutOfReach(<-b.failed) {
		return
	}
	ended := s.askers.end(r.Header.Get(askerHeader))
	s.Dialer.Metrics.Counter("askers-out-of-reach").Inc(1)
	s.Dialer.Log.Info("asker-out-of-reach", zap.String("remote", r.RemoteAddr), zap.Int("connections", ended))
}

// isOutOfReach reports whether the error of a connection shows that the other side does not respond any more.
func isOutOfReach(err error) bool { return resultOf(context.Background(), err) == reach.Silent }

// presenceBeat sends bytes on a connection for their acknowledgement.
type presenceBeat struct {
	peer net.Conn
	// failed receives the error that ends the connection.
	failed chan error
}

// run sends a byte each presenceInterval until that fails.
func (b *presenceBeat) run() {
	for {
		if _, err := b.peer.Write([]byte{0}); err != nil {
			b.failed <- err
			return
		}
		time.Sleep(presenceInterval)
	}
}

// presence is the connection by which a carrier notices that this process is out of its reach. It lasts while the carrier passes on others.
type presence struct {
	dialer  *Dialer
	carrier string
	// users is the number of these others, and idleSince when the last one ended. The dialer's presenceMu guards both.
	users     int
	idleSince time.Time
}

// Close ends what the dialer keeps open for connections to come. It is called at the end of the process.
func (d *Dialer) Close() {
	d.presenceMu.Lock()
	defer d.presenceMu.Unlock()
	d.closed = true
}

// holdPresence begins to show the carrier that this process is in reach, for one more connection that it passes on, until release.
func (d *Dialer) holdPresence(carrier string) (release func()) {
	d.presenceMu.Lock()
	defer d.presenceMu.Unlock()
	p := d.presences[carrier]
	if p == nil {
		p = &presence{dialer: d, carrier: carrier}
		d.presences[carrier] = p
		go p.run()
	}
	p.users++
	return sync.OnceFunc(p.release)
}

// release records that a connection which the carrier has passed on has ended.
func (p *presence) release() {
	p.dialer.presenceMu.Lock()
	defer p.dialer.presenceMu.Unlock()
	p.users--
	p.idleSince = p.dialer.Clock.Now()
}

// end reports whether the carrier has passed on no connection for a while, or passes on none and the dialer is closed. If so, this presence
// ends.
func (p *presence) end() bool {
	p.dialer.presenceMu.Lock()
	defer p.dialer.presenceMu.Unlock()
	if p.users > 0 || !p.dialer.closed && p.dialer.Clock.Now().Sub(p.idleSince) < presenceLinger {
		return false
	}
	delete(p.dialer.presences, p.carrier)
	return true
}

// run keeps the connection open until it is not needed any more.
func (p *presence) run() {
	for !p.end() {
		err := p.keep()
		if err == nil {
			// It has ended, and another one may have taken its place in the table.
			return
		}
		p.dialer.Log.Debug("presence-not-kept", zap.String("carrier", p.carrier), zap.Error(err))
		time.Sleep(presenceRetryInterval)
	}
}

// keep opens the connection and reads from it until it fails. It returns nil once the presence has ended.
func (p *presence) keep() error {
	ctx, cancel := context.WithTimeout(context.Background(), carrierTimeout)
	defer cancel()
	nc, _, _, err := p.dialer.request(ctx, p.carrier, presenceAddress)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	for buf := make([]byte, 64); !p.end(); {
		// A carrier that is silent for so long may have given the connection up.
		if err := nc.SetReadDeadline(time.Now().Add(2 * presenceTimeout)); err != nil {
			return fmt.Errorf("bound the time for a read: %w", err)
		}
		if _, err := nc.Read(buf); err != nil {
			return fmt.Errorf("read from the carrier: %w", err)
		}
	}
	return nil
}
