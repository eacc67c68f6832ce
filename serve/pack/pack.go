// Package pack compresses what is kept in the store or sent between entry VMs,
// with a bound on what it may grow to.
package pack

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// Level is how much processor time is spent for fewer bytes.
type Level uint8

const (
	// Fast is for what is packed for each reader.
	Fast Level = iota
	// Small is for what is packed once and read by many.
	Small
)

var levels = [...]zstd.EncoderLevel{Fast: zstd.SpeedFastest, Small: zstd.SpeedDefault}

// All compresses each part by itself.
func All(l Level, parts ...[]byte) ([][]byte, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(levels[l]), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	defer func() { _ = enc.Close() }() // nothing is buffered: EncodeAll writes all
	packed := make([][]byte, len(parts))
	for i, p := range parts {
		packed[i] = enc.EncodeAll(p, nil)
	}
	return packed, nil
}

// Open returns what was compressed. It refuses what is larger than most bytes: a
// damaged part must not fill the memory.
func Open(packed []byte, most uint64) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(most))
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
