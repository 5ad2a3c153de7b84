package serve_test

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"wasabiweir/io/serve"
	"wasabiweir/io/wall"
)

// failingListener fails to accept the first connection, as a process without a free file descriptor does.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept returns the next connection after one error.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends, with all requests in flight, because one connection could not be accepted.
func TestTemporaryAcceptErrorIsSurvived(t *testing.T) {
	table := &serve.ConnTable{Clock: wall.Clock{}, Limits: func() serve.ConnLimits { return serve.ConnLimits{} }}
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"limited": func(l net.Listener) net.Listener { return serve.LimitListener(l, 8) }, "tracked": table.Listener,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.NotFoundHandler(), ConnState: table.TrackState}
			t.Cleanup(func() { _ = server.Close() })
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(wrap(&failingListener{Listener: l})) }()
			answered := make(chan error, 1)
			go func() {
				res, err := http.Get("http://" + l.Addr().String())
				if err == nil {
					err = res.Body.Close()
				}
				answered <- err
			}()
			select {
			case err := <-ended:
				t.Errorf("the server ends: %v", err)
			case err := <-answered:
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
}
