package codec

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/zstd"
)

// Guards against a small frame that takes the memory of a process when it is decompressed, and against a damaged frame
// that is taken for valid data.
func TestDecompressIsBounded(t *testing.T) {
	data := bytes.Repeat([]byte("route "), 100_000)
	frame := Compress(data)
	if len(frame) > len(data)/100 {
		t.Errorf("%d bytes became %d", len(data), len(frame))
	}
	if got, err := Decompress(frame); err != nil || !bytes.Equal(got, data) {
		t.Errorf("got %d bytes and %v, want %d", len(got), err, len(data))
	}
	if _, err := Decompress(frame[:len(frame)-1]); err == nil {
		t.Error("an incomplete frame was decompressed")
	}
	damaged := bytes.Clone(frame)
	damaged[len(damaged)-1] ^= 1
	if _, err := Decompress(damaged); err == nil {
		t.Error("a frame with a wrong checksum was decompressed")
	}
	large, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(large.EncodeAll(make([]byte, MaxDecompressedBytes+1), nil)); err == nil {
		t.Errorf("more than %d bytes were decompressed", MaxDecompressedBytes)
	}
}
