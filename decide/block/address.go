package block

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Address widths of keys, in bits. The network of one IPv6 client is a /64, so
// the upper half of an IPv6 address identifies the client and the lower half is
// not stored.
const (
	width4 = 32
	width6 = 64
)

// key is an IPv4 address or the upper half of an IPv6 address.
type key interface{ uint32 | uint64 }

func key4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func key6(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:])
}

func prefix4(k uint32, bits uint8) netip.Prefix {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], k)
	return netip.PrefixFrom(netip.AddrFrom4(b), int(bits))
}

func prefix6(k uint64, bits uint8) netip.Prefix {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], k)
	return netip.PrefixFrom(netip.AddrFrom16(b), int(bits))
}

// checkPrefix returns an error for prefixes that a table cannot hold.
func checkPrefix(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return fmt.Errorf("%w: %s", ErrPrefix, p)
	case p.Addr().Is4In6():
		return fmt.Errorf("%w: %s is an IPv4 address mapped to IPv6", ErrPrefix, p)
	case p != p.Masked():
		return fmt.Errorf("%w: %s has bits set after its length", ErrPrefix, p)
	case p.Addr().Is6() && p.Bits() > width6:
		return fmt.Errorf("%w: %s is longer than /%d", ErrPrefix, p, width6)
	}
	return nil
}

// Hash returns a hash of the prefix for assigning blocks to shares and for
// choosing among alternatives. It depends only on the prefix, so all daemons
// compute the same value, also after a restart.
func Hash(p netip.Prefix) uint64 {
	var b [17]byte
	a := p.Addr().As16()
	copy(b[:], a[:])
	b[16] = byte(p.Bits())
	return xxhash.Sum64(b[:])
}

// Prefix lengths assumed for addresses that are in no block: the usual size of a
// network shared by the clients of one site.
const (
	defaultBits4 = 24
	defaultBits6 = 48
)

// DefaultBlock returns the prefix to use as the block of an address that is in no
// block of the table.
func DefaultBlock(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := defaultBits6
	if a.Is4() {
		bits = defaultBits4
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // a is the invalid zero Addr
	}
	return p
}
