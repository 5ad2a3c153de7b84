package codec

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxDecompressedBytes is the largest size in bytes to which Decompress restores data. Operators send up to 4 MB.
	MaxDecompressedBytes = 16 << 20
	// windowBytes is the distance over which repeated text is found. Larger windows need more memory and shrink a
	// configuration no further.
	windowBytes = 1 << 20
)

// newCompressor returns the encoder that Compress uses; it is shared, because each one holds tables of some 100 KB.
var newCompressor = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
})

// newDecompressor returns the decoder that Decompress uses.
var newDecompressor = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDecompressedBytes))
	if err != nil {
		panic(err)
	}
	return d
})

// Compress returns the data as a Zstandard frame with a checksum.
func Compress(data []byte) []byte { return newCompressor().EncodeAll(data, nil) }

// Decompress returns the data of a Zstandard frame. It returns an error if the frame is damaged or if its data is larger
// than MaxDecompressedBytes.
func Decompress(frame []byte) ([]byte, error) {
	data, err := newDecompressor().DecodeAll(frame, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return nil, fmt.Errorf("decompress to more than %d bytes: %w", MaxDecompressedBytes, err)
	}
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return data, nil
}
