package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Header is the HTTP header that carries a token, in requests and in answers
// that issue a fresh one.
const Header = "Azurethread-Token"

// MaxLifetime is the longest time before its expiry at which a token is
// accepted. It bounds how long a record is held if a minter's clock is ahead.
const MaxLifetime = 10 * time.Minute

// MaxVMID is the maximum length in bytes of a VMID in a token.
const MaxVMID = 64

// NonceSize is the size in bytes of the random part of a token.
const NonceSize = 16

// The layout of a token before base64url encoding: version, length of the VMID,
// VMID, incarnation, nonce, expiry in nanoseconds, and the truncated HMAC-SHA256
// of all these.
const (
	version     = 1
	macSize     = 16
	headSize    = 2
	fixedSize   = headSize + 8 + NonceSize + 8 + macSize
	maxRaw      = fixedSize + MaxVMID
	maxEncoded  = (maxRaw*8 + 5) / 6
	macDomain   = "azurethread token 1\x00"
	minKeyBytes = 16
)

var encoding = base64.RawURLEncoding.Strict()

// ID identifies a token. It is the token's MAC, so tokens that differ in any
// field have different IDs, even if a minter repeats a nonce.
type ID [macSize]byte

// Fields are the contents of a token.
type Fields struct {
	VM          fleet.VMID        // entry VM that may admit the token
	Incarnation fleet.Incarnation // process of that entry VM
	Nonce       [NonceSize]byte   // random, provided by the caller of Mint
	Expiry      clock.Time        // from this instant on the token is not admitted
}

// Minter mints and verifies tokens with one key. It reuses its buffers and is
// not safe for concurrent use.
type Minter struct {
	mac  hash.Hash
	head []byte // macDomain as bytes, which saves an allocation per token
	raw  [maxRaw]byte
	text [maxEncoded]byte
	sum  [sha256.Size]byte
}

// NewMinter returns a Minter for the key that all entry VMs share. The caller
// must make sure that the key has at least 16 bytes; see KeyLongEnough.
func NewMinter(key []byte) *Minter {
	return &Minter{mac: hmac.New(sha256.New, key), head: []byte(macDomain)}
}

// KeyLongEnough reports whether key may be used to mint tokens.
func KeyLongEnough(key []byte) bool { return len(key) >= minKeyBytes }

// Mint returns a token as text. The nonce must come from a random source that
// callers can't guess and that doesn't repeat. If vm is empty or longer than
// MaxVMID, Mint returns "", which no Ledger admits.
func Mint(key []byte, vm fleet.VMID, inc fleet.Incarnation, nonce [NonceSize]byte, expiry clock.Time) string {
	f := Fields{VM: vm, Incarnation: inc, Nonce: nonce, Expiry: expiry}
	return NewMinter(key).Mint(f)
}

// Mint returns the token with the given fields, as the function Mint does.
func (m *Minter) Mint(f Fields) string {
	if len(f.VM) == 0 || len(f.VM) > MaxVMID {
		return ""
	}
	b := append(m.raw[:0], version, byte(len(f.VM)))
	b = append(b, f.VM...)
	b = binary.BigEndian.AppendUint64(b, uint64(f.Incarnation))
	b = append(b, f.Nonce[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(f.Expiry))
	b = append(b, m.sign(b)...)
	return string(encoding.AppendEncode(m.text[:0], b))
}

// ID returns the ID of a token, and false if it was not minted with this key.
func (m *Minter) ID(tok string) (ID, bool) {
	b, ok := m.verify(tok)
	if !ok {
		return ID{}, false
	}
	return idOf(b), true
}

// Parse returns the fields of a token, and false if it was not minted with this
// key.
func (m *Minter) Parse(tok string) (Fields, bool) {
	b, ok := m.verify(tok)
	if !ok {
		return Fields{}, false
	}
	p := partsOf(b)
	f := Fields{VM: fleet.VMID(p.vm), Incarnation: p.incarnation, Expiry: p.expiry}
	copy(f.Nonce[:], p.nonce)
	return f, true
}

// sign returns the truncated MAC of b; it is valid until the next call.
func (m *Minter) sign(b []byte) []byte {
	m.mac.Reset()
	m.mac.Write(m.head)
	m.mac.Write(b)
	return m.mac.Sum(m.sum[:0])[:macSize]
}

// verify returns the bytes of an authentic token; they are valid until the next
// call. tok is untrusted input.
func (m *Minter) verify(tok string) ([]byte, bool) {
	if len(tok) > maxEncoded {
		return nil, false
	}
	n, err := encoding.Decode(m.raw[:], m.text[:copy(m.text[:], tok)])
	// The decoder skips line breaks, but a token has exactly one valid text.
	if err != nil || encoding.EncodedLen(n) != len(tok) {
		return nil, false
	}
	b := m.raw[:n]
	if n < fixedSize || b[0] != version || n != fixedSize+int(b[1]) {
		return nil, false
	}
	signed := b[:n-macSize]
	if !hmac.Equal(m.sign(signed), b[n-macSize:]) {
		return nil, false
	}
	return b, true
}

// tokenParts holds the fields of a token as slices of its bytes.
type tokenParts struct {
	vm          []byte
	incarnation fleet.Incarnation
	nonce       []byte
	expiry      clock.Time
}

// partsOf returns the fields of a verified token.
func partsOf(b []byte) tokenParts {
	vmEnd := headSize + int(b[1])
	nonceEnd := vmEnd + 8 + NonceSize
	return tokenParts{
		vm:          b[headSize:vmEnd],
		incarnation: fleet.Incarnation(binary.BigEndian.Uint64(b[vmEnd:])),
		nonce:       b[vmEnd+8 : nonceEnd],
		expiry:      clock.Time(binary.BigEndian.Uint64(b[nonceEnd:])),
	}
}

// idOf returns the ID of a verified token.
func idOf(b []byte) ID {
	return ID(b[len(b)-macSize:])
}
