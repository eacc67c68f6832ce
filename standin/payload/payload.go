// Package payload generates and checks the bodies that stand-in callers and
// targets exchange.
//
// The content of an answer depends only on the request ID. A caller can
// therefore detect a cut answer, or the answer to another request, without
// keeping a copy of the content.
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
	// IDHeader identifies the logical request. Re-sends carry the same ID, and
	// the answer echoes it.
	IDHeader = "X-Request-Id"
	// SizeHeader is the requested size of the answer, in bytes.
	SizeHeader = "X-Size"
	// ChunkedHeader, with any value, asks for an answer without a length.
	ChunkedHeader = "X-Chunked"
	// HashHeader is the Hash of the request body that the target received, sent
	// in the answer.
	HashHeader = "X-Body-Hash"
	// TargetHeader is the ID of the target, sent in the answer.
	TargetHeader = "X-Target"
	// DeadlineHeader is the time until the request's deadline, in milliseconds.
	DeadlineHeader = "Azurethread-Deadline-Ms"
	// LoadHeader is a target's load, sent in the answer as the number of
	// requests in flight, a slash and the number of slots.
	LoadHeader = "Azurethread-Load"
	// AttemptHeader identifies the send of an entry VM; the answer echoes it.
	AttemptHeader = "Azurethread-Attempt"
	// RefusedHeader marks an answer by which a target refuses a request before
	// running it.
	RefusedHeader = "Azurethread-Refused"
	// RefusedNotRun is the only value of RefusedHeader.
	RefusedNotRun = "not-run"
)

// DefaultSize is the size of an answer, in bytes, if the request doesn't state
// one.
const DefaultSize = 64

// blockSize is the number of bytes generated or checked at once.
const blockSize = 32 << 10

// wordSize is the size of a word of the generator, in bytes.
const wordSize = 8

// ErrWrongContent means that a body is not the content for its request ID.
var ErrWrongContent = errors.New("payload: body does not match request ID")

func generator(id string) *rand.ChaCha8 { return rand.NewChaCha8(sha256.Sum256([]byte(id))) }

// Write writes the first n bytes of the content for request id.
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

// Check reads r to its end. It returns ErrWrongContent if r doesn't hold exactly
// the first n bytes of the content for request id, and r's own error if reading
// fails.
func Check(r io.Reader, id string, n int) error {
	g := generator(id)
	size := min(blockSize, (n/wordSize+1)*wordSize)
	got, want := make([]byte, size), make([]byte, size)
	seen := 0
	for {
		// Read whole blocks: ChaCha8 produces a different stream when read in
		// portions that are not multiples of a word.
		k, err := readFull(r, got)
		seen += k
		if seen > n {
			return fmt.Errorf("%w: longer than %d bytes", ErrWrongContent, n)
		}
		g.Read(want[:k])
		if !bytes.Equal(got[:k], want[:k]) {
			return fmt.Errorf("%w: content differs before byte %d", ErrWrongContent, seen)
		}
		if err == io.EOF {
			return checkSize(seen, n)
		}
		if err != nil {
			return err
		}
	}
}

// readFull reads until b is full or r fails. Unlike io.ReadFull, it returns
// io.EOF for the end of r, which distinguishes it from the io.ErrUnexpectedEOF
// that net/http returns for a cut answer.
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
		return fmt.Errorf("%w: got %d of %d bytes", ErrWrongContent, seen, n)
	}
	return nil
}

// Hash computes the hash of a body that is written to it.
type Hash struct{ d *xxhash.Digest }

// NewHash returns the hash of an empty body.
func NewHash() Hash { return Hash{d: xxhash.New()} }

// Write implements io.Writer.
func (h Hash) Write(p []byte) (int, error) { return h.d.Write(p) }

// String returns the hash of the bytes written so far.
func (h Hash) String() string { return strconv.FormatUint(h.d.Sum64(), 16) }

// HashOf returns the hash of b in the format of Hash.String.
func HashOf(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }
