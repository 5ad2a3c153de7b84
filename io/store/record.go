package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"wasabiweir/core/raft"

	"github.com/fxamacker/cbor/v2"
)

// A frame is the stored form of a record or snapshot: a 4-byte marker, the length of the body, the CRC-32C of length
// and body, and the body in CBOR.
const (
	// frameHeaderBytes is the length of the marker, the length field and the checksum.
	frameHeaderBytes = 12
	// maxRecordBytes is the longest body of a stored frame; it bounds the memory that is allocated for a damaged length
	// field.
	maxRecordBytes = 1 << 30
)

// recordMarker starts each stored frame; the search for valid records after a damaged one looks for it.
var recordMarker = []byte{0xd7, 'w', 'w', 0x01}

// castagnoli is the table of the CRC-32C polynomial.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// cborDecoder decodes records and snapshots. It accepts arrays of up to 2^31-1 elements, because one raft.Ready can
// hold more entries than the library's default limit of 131072.
var cborDecoder = must(cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode())

// must returns the value v and panics if err is not nil, for the initialisation of package variables.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Record is the unit that Store.Save writes to the log file of a Raft group. An entry whose index already exists in the
// log replaces that entry and all that follow it.
type Record struct {
	// HardState is the new Raft hard state, such as the term and the vote; nil leaves it unchanged.
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	// Reset is set if a Raft snapshot replaced the log before this record; it identifies the snapshot's last entry.
	Reset *EntryID `cbor:"2,keyasint,omitempty"`
	// Entries are new entries of the Raft log in index order without gaps.
	Entries []raft.Entry `cbor:"3,keyasint,omitempty"`
}

// EntryID identifies an entry of the Raft log by its index and term.
type EntryID struct {
	// Index is the entry's position in the Raft log.
	Index uint64 `cbor:"1,keyasint"`
	// Term is the Raft term of the leader that appended the entry.
	Term uint64 `cbor:"2,keyasint"`
}

// frameChecksum returns the CRC-32C of a stored frame's length field and body.
func frameChecksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// appendFrame appends the stored frame of a record or snapshot v to buf. It encodes v in place, because the body can be
// many megabytes long.
func appendFrame(buf []byte, v any) ([]byte, error) {
	start := len(buf)
	b := bytes.NewBuffer(append(buf, make([]byte, frameHeaderBytes)...))
	if err := cbor.MarshalToBuffer(v, b); err != nil {
		return buf, fmt.Errorf("encode: %w", err)
	}
	frame := b.Bytes()[start:]
	if size := len(frame) - frameHeaderBytes; size > maxRecordBytes {
		return buf, fmt.Errorf("%d bytes are too long: %w", size, errInvalidRecord)
	}
	fillFrameHeader(frame)
	return b.Bytes(), nil
}

// fillFrameHeader writes the header of a stored frame before its body.
func fillFrameHeader(frame []byte) {
	body := frame[frameHeaderBytes:]
	copy(frame, recordMarker)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(frame[8:], frameChecksum(frame[4:8], body))
}

// readFrame returns the body and the whole length of the stored frame at the start of data. It returns errInvalidRecord
// if the frame is incomplete or damaged.
func readFrame(data []byte) ([]byte, int, error) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, recordMarker) {
		return nil, 0, fmt.Errorf("no record header: %w", errInvalidRecord)
	}
	size := binary.LittleEndian.Uint32(data[4:])
	if size > maxRecordBytes || int(size) > len(data)-frameHeaderBytes {
		return nil, 0, fmt.Errorf("length %d exceeds the file: %w", size, errInvalidRecord)
	}
	body := data[frameHeaderBytes : frameHeaderBytes+int(size)]
	if frameChecksum(data[4:8], body) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, fmt.Errorf("checksum differs: %w", errInvalidRecord)
	}
	return body, frameHeaderBytes + int(size), nil
}

// DecodeRecord decodes the record at the start of data, which is part of a log file, and returns it with its stored
// length in bytes. It fails if the record is incomplete or damaged.
func DecodeRecord(data []byte) (Record, int, error) {
	body, n, err := readFrame(data)
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := cborDecoder.Unmarshal(body, &r); err != nil {
		return Record{}, 0, fmt.Errorf("decode a record: %w", err)
	}
	return r, n, nil
}

// EncodeRecord appends the stored form of the record to buf. It fails if the encoded record is longer than 1 GiB.
func EncodeRecord(buf []byte, r Record) ([]byte, error) {
	out, err := appendFrame(buf, r)
	if err != nil {
		return buf, fmt.Errorf("a record: %w", err)
	}
	return out, nil
}

// containsRecord reports whether an undamaged stored record starts at any offset in data.
func containsRecord(data []byte) bool {
	for {
		i := bytes.Index(data, recordMarker)
		if i < 0 {
			return false
		}
		if _, _, err := readFrame(data[i:]); err == nil {
			return true
		}
		data = data[i+1:]
	}
}
