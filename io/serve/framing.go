package serve

import (
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrUnconfirmedEnd is returned for a response whose body ended with its connection, so that it may have been cut off,
// while its sender was not shown to go on.
var ErrUnconfirmedEnd = eris.New("the connection ended and with it a response without a length")

// ErrNoFinalStatus is returned for a response whose status is neither that of a final response nor that of an interim one before it.
var ErrNoFinalStatus = eris.New("the response has no final status")

// CheckFinal returns ErrNoFinalStatus unless the response is a final one. Nobody here asks for another protocol, so 101 is none.
func CheckFinal(res *http.Response) error {
	if res.StatusCode < http.StatusOK {
		return fmt.Errorf("status %03d: %w", res.StatusCode, ErrNoFinalStatus)
	}
	return nil
}

// HasFraming reports whether the response states where its body ends: by a length, by chunks, or because it has none. Any
// other body ends with its connection, which looks the same if the sender was killed.
func HasFraming(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody
}

// ConfirmEnd returns ErrUnconfirmedEnd if the response, whose body was read without an error, may lack a part of it.
// goesOn reports whether the process that sent the response was seen to run after its connection had ended; it is called
// only for a response without framing, because it takes time and requests.
func ConfirmEnd(res *http.Response, goesOn func() bool) error {
	if HasFraming(res) || goesOn() {
		return nil
	}
	return ErrUnconfirmedEnd
}
