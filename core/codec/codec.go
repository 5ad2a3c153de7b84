package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxElements limits the number of elements of each decoded CBOR array or map; the largest are the objects and records
// of a state machine's snapshot.
const maxElements = 1 << 24

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the core deterministic CBOR encoding (RFC 8949). It encodes nil and empty slices and maps alike,
// so that a decoded value has the same encoding when it is encoded again.
func newEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.NilContainers = cbor.NilContainerAsEmpty
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecMode returns a CBOR decoding that rejects duplicate map keys, because decoders may differ in which value they
// keep.
func newDecMode() cbor.DecMode {
	opts := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxMapPairs: maxElements}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of v, which is the same on each replica for equal values. It returns an error if v
// has a type that CBOR cannot represent.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode CBOR: %w", err)
	}
	return data, nil
}

// Decode decodes exactly one CBOR value from data into v, which must be a pointer. It returns an error if data has
// further bytes, does not match the type of v, or contains a map key twice.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode CBOR: %w", err)
	}
	return nil
}
