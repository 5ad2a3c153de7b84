package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

const (
	// Path is the path of the peer listener's WebSocket.
	Path = "/peer"

	nameHeader = "Wasabiweir-Name"
	dialLimit  = time.Second
	// compressFrom is the size of a message in bytes from which it is compressed: configurations and lists shrink to a
	// tenth, messages of the log and of streams are shorter.
	compressFrom = 1024
	// ShortDial bounds a dial within a region, where a round trip takes a few milliseconds: a machine without power answers
	// nothing, and others may be up already.
	ShortDial = 300 * time.Millisecond
	// firstRedial and lastRedial bound the delay between dials of a peer that can not be reached.
	firstRedial = 50 * time.Millisecond
	lastRedial  = time.Second
)

// Peer keeps a link to one address and dials it anew when it fails.
type Peer struct {
	// Self is the name under which this process is known.
	Self string
	// Address is the host and port of the peer listener.
	Address string
	// Key is the shared key of the system's processes.
	Key     string
	Handler Handler
	// Up is called with each new link before its first frame is read; it may be nil.
	Up func(l *Link)
	// DialTimeout bounds one dial; zero means a second.
	DialTimeout time.Duration
	Log         *zap.Logger

	link   atomic.Pointer[Link]
	cancel context.CancelFunc
}

// Start begins to dial the peer and returns at once.
func (p *Peer) Start(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(ctx)
	go p.loop(ctx)
}

// Stop closes the link and ends the dialling.
func (p *Peer) Stop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// Link returns the present link, or nil when the peer can not be reached.
func (p *Peer) Link() *Link { return p.link.Load() }

// Post sends a message on the present link; it returns ErrClosed when there is none.
func (p *Peer) Post(kind Kind, group string, body any) error {
	l := p.Link()
	if l == nil {
		return ErrClosed
	}
	return l.Post(kind, group, body)
}

// Call sends a request on the present link; it returns ErrClosed when there is none.
func (p *Peer) Call(ctx context.Context, kind Kind, group string, body, result any) error {
	l := p.Link()
	if l == nil {
		return ErrClosed
	}
	return l.Call(ctx, kind, group, body, result)
}

func (p *Peer) loop(ctx context.Context) {
	delay := firstRedial
	for ctx.Err() == nil {
		start := time.Now()
		err := p.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		p.Log.Debug("peer-link-lost", zap.String("peer", p.Address), zap.Error(err))
		if time.Since(start) > silenceLimit {
			delay = firstRedial
		}
		if !serve.Pause(ctx, delay) {
			return
		}
		delay = min(2*delay, lastRedial)
	}
}

func (p *Peer) connect(ctx context.Context) error {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = dialLimit
	}
	dial, cancel := context.WithTimeout(ctx, timeout)
	l, err := Dial(dial, p.Self, p.Address, p.Key, p.Handler)
	cancel()
	if err != nil {
		return err
	}
	p.link.Store(l)
	defer p.link.Store(nil)
	if p.Up != nil {
		p.Up(l)
	}
	return l.serve(ctx)
}

// Dial opens a link to the peer listener at the address; the caller passes it to Serve.
func Dial(ctx context.Context, self, address, key string, h Handler) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	header := http.Header{nameHeader: {self}, "Authorization": {"Bearer " + key}}
	// Each dial uses a transport of its own: a pooled connection may have gone silent for good.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	options := &websocket.DialOptions{
		HTTPHeader: header, HTTPClient: client,
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressFrom,
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, options) //nolint:bodyclose // the library closes the body of the upgrade response
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return newLink(address, conn, h), nil
}

// Serve runs a link that Dial returned until it fails.
func (l *Link) Serve(ctx context.Context) error { return l.serve(ctx) }

// Server accepts links from peers that know the key.
type Server struct {
	// Key is the shared key of the system's processes.
	Key string
	// Accepted returns the handler of a new link; it is called before the first frame is read.
	Accepted func(l *Link) Handler
	Log      *zap.Logger
}

// ServeHTTP upgrades the request to a link and serves it until it fails.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.knows(r.Header.Get("Authorization")) {
		s.Log.Warn("peer-refused", zap.String("remote", r.RemoteAddr), zap.String("reason", "wrong peer key"))
		http.Error(w, "wrong peer key", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressFrom,
	})
	if err != nil {
		s.Log.Warn("peer-refused", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	l := newLink(r.Header.Get(nameHeader), conn, nil)
	l.handler = s.Accepted(l)
	err = l.serve(r.Context())
	s.Log.Debug("peer-link-closed", zap.String("peer", l.Name), zap.Error(err))
}

// knows compares the sums of the keys, because a comparison of the keys themselves would tell their length.
func (s *Server) knows(authorization string) bool {
	got := sha256.Sum256([]byte(authorization))
	want := sha256.Sum256([]byte("Bearer " + s.Key))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}
