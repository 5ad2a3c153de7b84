package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

const (
	// Path is the HTTP path at which the peer listener accepts links.
	Path = "/peer"

	// nameHeader is the HTTP header in which the process that dials a link sends its name.
	nameHeader = "Wasabiweir-Name"
	// maxUpgradeHeader bounds the size in bytes of the header of the response to the dial of a link.
	maxUpgradeHeader = 16 << 10
	// maxDialTimeout bounds one dial of a link; it is also the default of Peer.DialTimeout.
	maxDialTimeout = time.Second
	// compressionThreshold is the size in bytes from which a frame is compressed. Configurations and lists are larger and
	// shrink to a tenth; messages of the replicated log and of streams are smaller.
	compressionThreshold = 1024
	// RegionalDialTimeout is a timeout for dials of links within a region, where a round trip takes a few milliseconds. A
	// machine without power never answers, so the caller should soon try others.
	RegionalDialTimeout = 300 * time.Millisecond
	// minRedialDelay is the delay before the first redial of a peer that can not be reached; it doubles with each
	// further redial.
	minRedialDelay = 50 * time.Millisecond
	// maxRedialDelay is the longest delay between redials of a peer.
	maxRedialDelay = time.Second
)

// Peer maintains a link to the process at one address and redials when the link fails. Its exported fields must be set
// before Start.
type Peer struct {
	// SelfName is the name of this process, which it sends to the peer.
	SelfName string
	// Address is the host and port of the peer's listener.
	Address string
	// Key is the secret that all processes of the system share.
	Key string
	// Handler handles the frames that arrive on the link to the peer.
	Handler Handler
	// OnConnect is called with each new link to the peer; it may be nil. The frames that it posts go before all others, and
	// no frame is read before it returns.
	OnConnect func(l *Link)
	// DialTimeout bounds one dial of the peer; zero and anything above a second mean one second.
	DialTimeout time.Duration
	// Log receives a debug line for each lost link to the peer.
	Log *zap.Logger

	link    atomic.Pointer[Link]
	refused atomic.Bool // the last dial was refused
	cancel  context.CancelFunc
}

// Start dials the peer in the background, and again whenever the link fails, until Stop is called or the context ends.
func (p *Peer) Start(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(ctx)
	go p.loop(ctx)
}

// Stop closes the link to the peer and stops dialling; it does not wait for either.
func (p *Peer) Stop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// Link returns the current link to the peer, or nil if it is not connected.
func (p *Peer) Link() *Link { return p.link.Load() }

// Refused reports whether the last dial of the peer was refused, which means that its process has ended. A process that
// is paused or cut off does not answer a dial.
func (p *Peer) Refused() bool { return p.refused.Load() }

// Post calls Link.Post on the current link to the peer; it returns ErrClosed if there is none.
func (p *Peer) Post(kind Kind, group string, body any) error {
	l := p.Link()
	if l == nil {
		return ErrClosed
	}
	return l.Post(kind, group, body)
}

// Call calls Link.Call on the current link to the peer; it returns ErrClosed if there is none.
func (p *Peer) Call(ctx context.Context, kind Kind, group string, body, result any) error {
	l := p.Link()
	if l == nil {
		return ErrClosed
	}
	return l.Call(ctx, kind, group, body, result)
}

// loop dials the peer and serves the link until it fails, over and over. The delay between dials doubles up to
// maxRedialDelay, and starts again at minRedialDelay after a link that lasted longer than readTimeout.
func (p *Peer) loop(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := p.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		p.Log.Debug("peer-link-lost", zap.String("peer", p.Address), zap.Error(err))
		if time.Since(start) > readTimeout {
			delay = minRedialDelay
		}
		if !serve.Sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect dials the peer once and serves the link until it fails.
func (p *Peer) connect(ctx context.Context) error {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = maxDialTimeout
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	l, err := Dial(dialCtx, p.SelfName, p.Address, p.Key, p.Handler)
	cancel()
	p.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return err
	}
	if p.OnConnect != nil {
		p.OnConnect(l)
	}
	p.link.Store(l)
	defer p.link.Store(nil)
	return l.serve(ctx)
}

// Dial opens a link to the peer listener of the process at the address, as the process with the name self; the caller
// must then call Link.Serve. It fails if the link is not open within a second.
func Dial(ctx context.Context, self, address, key string, h Handler) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, maxDialTimeout)
	defer cancel()
	header := http.Header{nameHeader: {self}, "Authorization": {"Bearer " + key}}
	// Each dial uses its own transport, because a pooled connection may be dead without having been closed.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxUpgradeHeader}}
	options := &websocket.DialOptions{
		HTTPHeader: header, HTTPClient: client,
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, options) //nolint:bodyclose // the library closes the body of the upgrade response
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return newLink(address, conn, h), nil
}

// Serve exchanges frames on a link that Dial returned. It returns the cause once the link fails or the context ends.
func (l *Link) Serve(ctx context.Context) error { return l.serve(ctx) }

// Server is the HTTP handler that accepts links from processes that send the right key.
type Server struct {
	// Key is the secret that all processes of the system share.
	Key string
	// HandlerFor returns the handler of the frames on a new link; it is called before the first frame is read.
	HandlerFor func(l *Link) Handler
	// Log receives a warning for each refused connection and a debug line for each closed link.
	Log *zap.Logger
}

// ServeHTTP upgrades the request to a link and serves the link until it fails. It responds with status 401 to a wrong
// key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !IsAuthorised(s.Key, r.Header.Get("Authorization")) {
		s.Log.Warn("peer-refused", zap.String("remote", r.RemoteAddr), zap.String("reason", "wrong peer key"))
		http.Error(w, "wrong peer key", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		s.Log.Warn("peer-refused", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	l := newLink(r.Header.Get(nameHeader), conn, nil)
	l.handler = s.HandlerFor(l)
	err = l.serve(r.Context())
	s.Log.Debug("peer-link-closed", zap.String("peer", l.Name), zap.Error(err))
}

// IsAuthorised reports whether the value of an Authorization header contains the key. It compares hashes in constant time, because a
// comparison of the keys themselves would reveal the length of the right key.
func IsAuthorised(key, authorization string) bool {
	got := sha256.Sum256([]byte(authorization))
	want := sha256.Sum256([]byte("Bearer " + key))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}
