package stream

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"wasabiweir/core/common"
)

const (
	// MaxCursorBytes is the maximum length in bytes of an encoded cursor, which has to fit into an HTTP header field.
	MaxCursorBytes = 2048

	// maxHolders is the maximum number of journal holders of a generation.
	maxHolders = 7
	// cursorVersion is the first byte of an encoded cursor.
	cursorVersion = 1
	// checksumBytes is the length of the CRC-32C at the end of an encoded cursor.
	checksumBytes = 4
)

// castagnoliTable is the table of the CRC-32C polynomial.
var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Cursor is the position of a caller in a streamed answer, with the routers that hold the journal of the answer.
// Callers send its encoded form back to resume and need not understand it.
type Cursor struct {
	// ID is the id of the request whose answer is streamed.
	ID string `cbor:"1,keyasint"`
	// Set is the set of routers that held the journal of the answer when the cursor was issued.
	Set HolderSet `cbor:"2,keyasint"`
	// Offset is the number of answer tokens that the caller has received.
	Offset int `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch number of the router that owned the generation when it issued the cursor. It is a hint: a
	// transfer of ownership starts with the next number, which saves a round of requests that the journal holders
	// refuse as stale.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Final is true when the caller has received the last batch, which carries the finish reason.
	Final bool `cbor:"5,keyasint,omitempty"`
}

// CursorProblem is the reason why a cursor is rejected.
type CursorProblem string

// Reasons for which ParseCursor rejects a cursor.
const (
	CursorTooLong  CursorProblem = "too-long"
	CursorEncoding CursorProblem = "encoding"
	CursorChecksum CursorProblem = "checksum"
	CursorVersion  CursorProblem = "version"
	CursorContent  CursorProblem = "content"
)

// CursorError is the error of ParseCursor for an invalid cursor.
type CursorError struct {
	Problem CursorProblem
	// Err is the cause of the cursor's rejection.
	Err error
}

// Error returns the reason of the rejected cursor and its cause as one line of text.
func (e *CursorError) Error() string { return fmt.Sprintf("cursor refused (%s): %v", e.Problem, e.Err) }

// Unwrap returns the error that caused the rejection.
func (e *CursorError) Unwrap() error { return e.Err }

// Refusal returns the cursor error as a refusal of the resume request, in the form that callers receive.
func (e *CursorError) Refusal() *common.Refusal {
	return common.NewNotRunRefusal(common.ReasonBadCursor, "last-event-id", e.Error())
}

// String encodes the cursor as URL-safe base64 text, which may be used in a header field or an event id.
func (c Cursor) String() string {
	body, err := cbor.Marshal(c)
	if err != nil {
		return "" // No field of a cursor has a type that CBOR cannot encode.
	}
	raw := append([]byte{cursorVersion}, body...)
	raw = binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoliTable))
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseCursor decodes the text that Cursor.String returns; its errors are of type *CursorError.
func ParseCursor(text string) (Cursor, error) {
	if len(text) > MaxCursorBytes {
		return Cursor{}, &CursorError{CursorTooLong, eris.Errorf("%d bytes, at most %d are allowed", len(text), MaxCursorBytes)}
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Cursor{}, &CursorError{CursorEncoding, fmt.Errorf("decode base64: %w", err)}
	}
	if len(raw) < 1+checksumBytes {
		return Cursor{}, &CursorError{CursorEncoding, eris.Errorf("%d bytes are too few", len(raw))}
	}
	n := len(raw) - checksumBytes
	if crc32.Checksum(raw[:n], castagnoliTable) != binary.BigEndian.Uint32(raw[n:]) {
		return Cursor{}, &CursorError{CursorChecksum, eris.New("checksum does not match")}
	}
	if raw[0] != cursorVersion {
		return Cursor{}, &CursorError{CursorVersion, eris.Errorf("version %d is not known", raw[0])}
	}
	var c Cursor
	if err := cbor.Unmarshal(raw[1:n], &c); err != nil {
		return Cursor{}, &CursorError{CursorEncoding, fmt.Errorf("decode cbor: %w", err)}
	}
	if err := c.checkFields(); err != nil {
		return Cursor{}, &CursorError{CursorContent, err}
	}
	return c, nil
}

// checkFields returns an error if a decoded cursor has no request id, a negative token offset or an invalid set of
// journal holders.
func (c Cursor) checkFields() error {
	if c.ID == "" {
		return eris.New("request id is empty")
	}
	if c.Offset < 0 {
		return eris.Errorf("offset %d is negative", c.Offset)
	}
	return c.Set.checkMembers()
}
