package router

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabiweir/core/object"
	"wasabiweir/io/serve"
)

// Guards against an endpoint that does not read the large body of a call and is left only at the deadline, although the caller has
// closed its connection. The body is read whole before it is sent, so the end of the connection is not hidden behind it.
func TestLargeCallEndsWithCaller(t *testing.T) {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	c := newCalls(t, endpoint.Addr().String())
	c.router.initRequests(t.Context())
	sum := sha256.Sum256([]byte("token"))
	c.router.view.Store(newConfigView(1, "", &object.Graph{
		Services: map[string]object.Service{"rondas-app": {Name: "rondas-app", Type: object.ServicePlain, IdempotentMethods: []string{http.MethodPut}}},
		Accounts: map[string]object.Account{"vets": {Name: "vets", TokenHashes: []string{hex.EncodeToString(sum[:])}}},
		Intents:  map[string]object.Intent{"rondas": {Name: "rondas", Service: "rondas-app", Accounts: []string{"vets"}}},
	}))
	c.router.ReadTimeout = 10 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := c.router.newCallerServer(c.router.guard.Handler(c.router.callerHandler()))
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = fmt.Fprintf(caller, "PUT /v1/services/rondas-app/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Length: %d\r\n\r\n", maxBodyBytes)
		_, _ = caller.Write(make([]byte, maxBodyBytes))
	}()
	ec, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer ec.Close()
	if _, err := http.ReadRequest(bufio.NewReader(ec)); err != nil {
		t.Fatal(err)
	}
	// By then, the body that the endpoint does not read has filled the sockets between it and the router.
	time.Sleep(100 * time.Millisecond)
	_ = caller.Close()
	for left := time.Now(); !serve.HasPeerClosed(ec); time.Sleep(5 * time.Millisecond) {
		if time.Since(left) > 500*time.Millisecond {
			t.Fatal("the endpoint is still connected")
		}
	}
}
