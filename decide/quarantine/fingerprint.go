package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Fingerprint identifies a request by its content. Requests with the same
// content have the same fingerprint, whichever entry VM receives them.
//
// It is a truncated SHA-256 sum: with a hash for which callers can find
// collisions, one caller could have another one's requests refused.
type Fingerprint [16]byte

// Content holds the parts of a request that its fingerprint covers.
type Content struct {
	Method string
	Host   string
	URI    string // path and query as sent
	Caller string // identity stated by the request; may be empty
	Body   []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.URI, c.Caller} {
		writeField(h, field)
	}
	_, _ = h.Write(c.Body) // Write of a hash.Hash never returns an error
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// writeField hashes a field preceded by its length, so that no two lists of
// fields give the same bytes.
func writeField(h hash.Hash, field string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	_, _ = h.Write(size[:])
	_, _ = io.WriteString(h, field)
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(f)) {
		return hex.ErrLength
	}
	_, err := hex.Decode(f[:], b)
	return err
}
