package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"wasabiweir/io/serve"
)

// Kind classifies the errors of requests to engines by their cause.
type Kind string

// Kinds of errors of requests to engines.
const (
	// KindConnect means that no connection to the engine could be established, so no byte was sent.
	KindConnect Kind = "connect"
	// KindRefused means that the engine replied with an error status or sent an error event in an output stream.
	KindRefused Kind = "refused"
	// KindReset means that the connection to the engine was reset or closed before the reply was complete.
	KindReset Kind = "reset"
	// KindTimeout means that the write timeout or the header timeout of the engine's Transport expired, or the Client's NotAfter.
	KindTimeout Kind = "timeout"
	// KindProtocol means that the engine's reply does not have the expected format or content.
	KindProtocol Kind = "protocol"
	// KindCanceled means that the caller's context ended or that the engine's output stream was closed by the caller.
	KindCanceled Kind = "canceled"
)

// CodeDraining is the error code of an engine that is draining and accepts no new requests.
const CodeDraining = "draining"

// maxErrorBytes is the number of bytes that are read at most of the body of an engine's error reply.
const maxErrorBytes = 64 << 10

// Error is the error type of all methods of Client. Sent is false only if no byte of the request can have been sent.
type Error struct {
	Kind Kind
	Sent bool
	// Status, Code, Message and RetryAfter are taken from the engine's error reply if Kind is KindRefused.
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration
	Err        error
}

// Error returns the message of the failed request to an engine in one line.
func (e *Error) Error() string {
	if e.Kind == KindRefused {
		return fmt.Sprintf("engine refused the request: status %d, code %s: %s", e.Status, e.Code, e.Message)
	}
	return fmt.Sprintf("engine %s: %v", e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Draining reports whether the engine refused the request because it accepts no new requests.
func (e *Error) Draining() bool {
	return e.Kind == KindRefused && e.Status == http.StatusServiceUnavailable && e.Code == CodeDraining
}

// KindOf returns the kind of the *Error that err wraps, or an empty kind if err wraps none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// connectError marks an error that occurred while a connection to an engine was being established.
type connectError struct{ err error }

// Error returns the message of the underlying error.
func (e *connectError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *connectError) Unwrap() error { return e.err }

// classifyError converts the error of a request, or of an output stream, without a valid reply of the engine into an
// *Error.
func classifyError(ctx context.Context, err error, t *connTrace) *Error {
	sent, reused := t.connectionUse()
	e := &Error{Kind: KindProtocol, Sent: sent, Err: err}
	var (
		dial *connectError
		op   *net.OpError
		nerr net.Error
	)
	switch {
	case errors.Is(err, serve.ErrExpired):
		e.Kind = KindTimeout
	case ctx.Err() != nil:
		e.Kind = KindCanceled
	case errors.As(err, &dial):
		e.Kind = KindConnect
	case errors.As(err, &nerr) && nerr.Timeout():
		e.Kind = KindTimeout
	case errors.As(err, &op), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		e.Kind = KindReset
	case reused && !errors.Is(err, ErrMalformed):
		// The package net/http exports no error for a request on an idle connection that the server has closed.
		e.Kind = KindReset
	}
	return e
}

// apiError is the error object in an engine's reply, in the format of the completions API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the error code: a string, or an HTTP status as a number.
	Code any `json:"code"`
}

// codeText returns the engine's error code as a string, or the error type if the reply has no code.
func (a *apiError) codeText() string {
	switch c := a.Code.(type) {
	case string:
		return c
	case float64:
		return strconv.Itoa(int(c))
	}
	return a.Type
}

// refusalError returns the *Error for an engine's reply with an error status.
func refusalError(r *http.Response) *Error {
	e := &Error{Kind: KindRefused, Sent: true, Status: r.StatusCode, RetryAfter: parseRetryAfter(r.Header.Get("Retry-After"))}
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes)) // the status is reported even if the body is incomplete
	var reply struct {
		Error apiError `json:"error"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		e.Message = r.Status
		return e
	}
	e.Code = reply.Error.codeText()
	e.Message = reply.Error.Message
	return e
}

// maxRetryAfter bounds the time in a Retry-After header.
const maxRetryAfter = time.Hour

// parseRetryAfter parses a Retry-After header in whole seconds, of at most maxRetryAfter. It returns zero for any other value.
func parseRetryAfter(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if n > int64(maxRetryAfter/time.Second) {
		return maxRetryAfter
	}
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
