// Package pack compresses data for the store and for messages between entry
// VMs, and limits the size of what it decompresses.
package pack

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// Level trades processor time for size.
type Level uint8

const (
	// Fast is for data compressed anew for each reader.
	Fast Level = iota
	// Small is for data compressed once and read by many.
	Small
)

var levels = [...]zstd.EncoderLevel{Fast: zstd.SpeedFastest, Small: zstd.SpeedDefault}

// Compress compresses each part separately.
func Compress(l Level, parts ...[]byte) ([][]byte, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(levels[l]), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer func() { _ = enc.Close() }() // EncodeAll leaves nothing buffered
	packed := make([][]byte, len(parts))
	for i, p := range parts {
		packed[i] = enc.EncodeAll(p, nil)
	}
	return packed, nil
}

// Decompress decompresses packed. It fails if the result exceeds limit bytes, so
// that damaged data cannot exhaust the memory.
func Decompress(packed []byte, limit uint64) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(limit))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return plain, nil
}
