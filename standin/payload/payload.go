// Package payload makes the bodies by which the stand-in callers and targets
// check that an answer is whole and belongs to its request.
//
// The content of an answer follows from the request's id alone, so a caller
// can tell a cut answer, and another request's answer, from its own without
// keeping a copy.
package payload

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The headers between stand-in callers and targets.
const (
	// IDHeader names the logical request; re-sends carry the same. The
	// answer echoes it.
	IDHeader = "X-Request-Id"
	// SizeHeader asks for an answer of so many bytes.
	SizeHeader = "X-Size"
	// ChunkedHeader, with any value, asks for an answer without a length.
	ChunkedHeader = "X-Chunked"
	// HashHeader carries, in the answer, the Hash of the body received.
	HashHeader = "X-Body-Hash"
	// TargetHeader carries, in the answer, the id of the target.
	TargetHeader = "X-Target"
	// DeadlineHeader carries the remaining milliseconds of a request.
	DeadlineHeader = "Azurethread-Deadline-Ms"
	// LoadHeader carries, in a target's answer, its load as in flight/slots.
	LoadHeader = "Azurethread-Load"
	// RefusedHeader marks a target's answer that refuses a request before
	// running it.
	RefusedHeader = "Azurethread-Refused"
	// RefusedNotRun is the value of RefusedHeader.
	RefusedNotRun = "not-run"
)

// DefaultSize is the size of an answer whose request asks for none, in bytes.
const DefaultSize = 64

// blockSize is how much content is made or checked at once.
const blockSize = 32 << 10

// wordSize is the unit of the generator, in bytes.
const wordSize = 8

// ErrWrongContent means that a body is not the content of its request.
var ErrWrongContent = errors.New("payload: wrong content")

func generator(id string) *rand.ChaCha8 { return rand.NewChaCha8(sha256.Sum256([]byte(id))) }

// Write writes the first n bytes of the content of request id.
func Write(w io.Writer, id string, n int) error {
	g := generator(id)
	block := make([]byte, min(n, blockSize))
	for n > 0 {
		b := block[:min(n, len(block))]
		g.Read(b) // never fails
		if _, err := w.Write(b); err != nil {
			return fmt.Errorf("payload: %w", err)
		}
		n -= len(b)
	}
	return nil
}

// Check reads r to its end. It returns ErrWrong if that is not exactly n
// bytes of the content of request id, and the reader's own error if it fails.
func Check(r io.Reader, id string, n int) error {
	g := generator(id)
	size := min(blockSize, (n/wordSize+1)*wordSize)
	got, want := make([]byte, size), make([]byte, size)
	seen := 0
	for {
		// Whole blocks, because a ChaCha8 makes another stream when it is
		// read in other portions than multiples of a word.
		k, err := readFull(r, got)
		seen += k
		if seen > n {
			return fmt.Errorf("%w: more than %d bytes", ErrWrongContent, n)
		}
		g.Read(want[:k])
		if !bytes.Equal(got[:k], want[:k]) {
			return fmt.Errorf("%w: differs before byte %d", ErrWrongContent, seen)
		}
		if err == io.EOF {
			return checkSize(seen, n)
		}
		if err != nil {
			return err
		}
	}
}

// readFull reads until b is full or r fails. It differs from io.ReadFull in that
// it keeps the end of r apart from an io.ErrUnexpectedEOF of r's own, by
// which net/http says that an answer was cut.
func readFull(r io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		k, err := r.Read(b[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func checkSize(seen, n int) error {
	if seen != n {
		return fmt.Errorf("%w: %d bytes of %d", ErrWrongContent, seen, n)
	}
	return nil
}

// Hash is a running hash of a body.
type Hash struct{ d *xxhash.Digest }

// NewHash returns the hash of an empty body.
func NewHash() Hash { return Hash{d: xxhash.New()} }

// Write implements io.Writer.
func (h Hash) Write(p []byte) (int, error) { return h.d.Write(p) }

// String returns the hash of what has been written.
func (h Hash) String() string { return strconv.FormatUint(h.d.Sum64(), 16) }

// HashOf returns the hash of b as String does.
func HashOf(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }
