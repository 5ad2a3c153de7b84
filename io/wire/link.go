package wire

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// heartbeatInterval is the time between two heartbeats that a process sends on a link.
	heartbeatInterval = 500 * time.Millisecond
	// readTimeout is the time after which a link is closed if no frame arrives; heartbeats count as frames.
	readTimeout = 2 * time.Second
	// writeTimeout bounds the write of one frame to a link. Writes can block if a device on the path, such as a firewall,
	// has lost its state of the connection.
	writeTimeout = 2 * time.Second
	// sendQueueFrames is the maximum number of frames that are queued for sending on a link.
	sendQueueFrames = 4096
	// maxFrameBytes is the longest frame that a link accepts; a configuration snapshot is the largest message.
	maxFrameBytes = 64 << 20
)

// Errors returned by Link and Peer.
var (
	// ErrClosed means that the link to the other process is closed, or that a Peer has no link at present.
	ErrClosed = eris.New("link is closed")
	// ErrPanic means that the handler of a frame panicked.
	ErrPanic = eris.New("the handler panicked")
	// ErrQueueFull means that the frame was dropped because too many frames are queued for sending on the link.
	ErrQueueFull = eris.New("link's send queue is full")
)

// RemoteError is the error of a request that failed in the process at the other end of the link.
type RemoteError struct{ Text string }

// Error returns the error text that the process at the other end of the link sent.
func (e *RemoteError) Error() string { return e.Text }

// Handler handles the frames that arrive on a link, except for heartbeats and replies.
type Handler interface {
	// HandleFrame is called for one frame of a link at a time, in order; it must not block for long, as no other frame is
	// read from the link meanwhile.
	HandleFrame(l *Link, f Frame)
}

// Link is one WebSocket connection to another process of the system, over which both send frames.
type Link struct {
	// Name identifies the process at the other end: the address that was dialled, or the name that the dialling process
	// sent.
	Name string

	conn       *websocket.Conn
	handler    Handler
	outgoing   chan Frame // frames queued for sending
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{} // closed when the link is closed
	closeOnce  sync.Once
	closeCause error         // why the link was closed
	lastID     atomic.Uint64 // ID of the latest request frame
	sentBytes  atomic.Uint64

	mu           sync.Mutex
	pendingCalls map[uint64]chan Frame // the channel on which the reply is delivered, by request ID
}

// newLink returns a link over the WebSocket connection; it exchanges frames once serve is called.
func newLink(name string, conn *websocket.Conn, h Handler) *Link {
	conn.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		ctx:          ctx,
		cancel:       cancel,
		Name:         name,
		conn:         conn,
		handler:      h,
		outgoing:     make(chan Frame, sendQueueFrames),
		done:         make(chan struct{}),
		pendingCalls: make(map[uint64]chan Frame),
	}
}

// serve sends and reads frames until the link fails or the context ends, and returns the cause of the end.
func (l *Link) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	go l.loopWrite(l.ctx)
	err := l.readFrames(l.ctx)
	l.close(err)
	return err
}

// readFrames delivers replies to their callers and passes other frames to the handler, until a read fails.
func (l *Link) readFrames(ctx context.Context) error {
	for {
		f, err := l.readFrame(ctx)
		if err != nil {
			return fmt.Errorf("read from %s: %w", l.Name, err)
		}
		switch f.Kind {
		case KindHeartbeat:
		case KindReply:
			l.deliverReply(f)
		default:
			if err := l.handleFrame(f); err != nil {
				return err
			}
		}
	}
}

// handleFrame passes a frame to the handler. It returns an error that wraps ErrPanic if the handler panics, so that a
// frame which cannot be handled costs the link and not the process.
func (l *Link) handleFrame(f Frame) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("handle a frame of kind %s: %w: %v\n%s", f.Kind, ErrPanic, p, debug.Stack())
		}
	}()
	l.handler.HandleFrame(l, f)
	return nil
}

// readFrame reads one frame; it fails if none arrives within readTimeout.
func (l *Link) readFrame(ctx context.Context) (Frame, error) {
	var f Frame
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, b, err := l.conn.Read(ctx)
	if err != nil {
		return f, fmt.Errorf("read frame: %w", err)
	}
	return f, Unmarshal(b, &f)
}

// loopWrite sends the queued frames of the link and regular heartbeats until a write fails or the context ends.
func (l *Link) loopWrite(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.close(ctx.Err())
			return
		case f := <-l.outgoing:
			if err := l.writeFrame(ctx, f); err != nil {
				l.close(err)
				return
			}
		case <-ticker.C:
			if err := l.writeFrame(ctx, Frame{Kind: KindHeartbeat}); err != nil {
				l.close(err)
				return
			}
		}
	}
}

// writeFrame encodes and sends one frame; it fails if that takes longer than writeTimeout.
func (l *Link) writeFrame(ctx context.Context, f Frame) error {
	b, err := Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.sentBytes.Add(uint64(len(b)))
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("write to %s: %w", l.Name, err)
	}
	return nil
}

// SentBytes returns the number of bytes of all frames sent on the link, before compression.
func (l *Link) SentBytes() uint64 { return l.sentBytes.Load() }

// Done returns a channel that is closed when the link is closed or has failed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the link and its connection; calls that wait for a reply on it fail with ErrClosed.
func (l *Link) Close() { l.close(ErrClosed) }

// close closes the link's connection once and records the cause of the first call.
func (l *Link) close(cause error) {
	l.closeOnce.Do(func() {
		l.closeCause = cause
		close(l.done)
		l.cancel()
		_ = l.conn.CloseNow()
	})
}

// Send queues a frame for sending without waiting. It returns ErrClosed or ErrQueueFull if the frame can not be queued;
// a queued frame is lost if the link fails before it is sent.
func (l *Link) Send(f Frame) error {
	select {
	case <-l.done:
		return ErrClosed
	default:
	}
	select {
	case l.outgoing <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// Post encodes body and queues it as a frame of the kind, to which no reply is expected. It returns the errors of Send.
func (l *Link) Post(kind Kind, group string, body any) error {
	b, err := Marshal(body)
	if err != nil {
		return err
	}
	return l.Send(Frame{Kind: kind, Group: group, Body: b})
}

// Reply queues a reply to the request f with body, or with the text of err if that is not nil. It returns the errors of
// Send.
func (l *Link) Reply(f Frame, body any, err error) error {
	reply := Frame{Kind: KindReply, ID: f.ID, Group: f.Group}
	if err != nil {
		reply.Error = err.Error()
		return l.Send(reply)
	}
	if reply.Body, err = Marshal(body); err != nil {
		return err
	}
	return l.Send(reply)
}

// Call sends a request frame, waits for the reply and decodes it into result. It returns a *RemoteError if the other
// process returned an error, the errors of Send, ErrClosed if the link fails first, and the context's error if that
// ends first.
func (l *Link) Call(ctx context.Context, kind Kind, group string, body, result any) error {
	b, err := Marshal(body)
	if err != nil {
		return err
	}
	id, ch := l.registerCall()
	defer l.unregisterCall(id)
	if err := l.Send(Frame{Kind: kind, Group: group, ID: id, Body: b}); err != nil {
		return fmt.Errorf("call %s: %w", l.Name, err)
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("call %s: %w", l.Name, ctx.Err())
	case <-l.done:
		return fmt.Errorf("call %s: %w", l.Name, ErrClosed)
	case f := <-ch:
		if f.Error != "" {
			return &RemoteError{Text: f.Error}
		}
		return Unmarshal(f.Body, result)
	}
}

// registerCall returns a new request ID and the channel on which the reply to the request is delivered.
func (l *Link) registerCall() (uint64, chan Frame) {
	id := l.lastID.Add(1)
	ch := make(chan Frame, 1)
	l.mu.Lock()
	l.pendingCalls[id] = ch
	l.mu.Unlock()
	return id, ch
}

// unregisterCall removes the pending call with a request ID, whose caller no longer waits for the reply.
func (l *Link) unregisterCall(id uint64) {
	l.mu.Lock()
	delete(l.pendingCalls, id)
	l.mu.Unlock()
}

// deliverReply passes a reply to the caller of its request, or drops it if the caller no longer waits.
func (l *Link) deliverReply(f Frame) {
	l.mu.Lock()
	ch := l.pendingCalls[f.ID]
	delete(l.pendingCalls, f.ID)
	l.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}
