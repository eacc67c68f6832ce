// Package blocktest generates tables of client blocks for tests and benchmarks.
// About 70% of the blocks are IPv4 networks of /20 to /26, and the others are IPv6
// networks of /44 to /56. Some are nested, and there are gaps between runs of
// adjacent blocks, as in allocated address space.
package blocktest

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Topology returns a topology of regions named r00, r01, ... over which failure
// domains named r00-d0, r01-d0, ... are distributed evenly.
func Topology(regions, domains int) block.Topology {
	t := make(block.Topology, regions)
	for i := range domains {
		r := RegionName(i % regions)
		t[r] = append(t[r], fleet.Domain(fmt.Sprintf("%s-d%d", r, i/regions)))
	}
	return t
}

// RegionName returns the name of region i.
func RegionName(i int) fleet.Region { return fleet.Region(fmt.Sprintf("r%02d", i)) }

// Blocks returns n distinct blocks in ascending order. The result depends only on
// the arguments. Each block is assigned to a failure domain of the topology with
// equal probability. If preferred is true, its home lists that domain and the next
// one of the region as preferred; otherwise the home has only the region.
func Blocks(n int, topology block.Topology, preferred bool, seed uint64) []block.Block {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0)), homes: homes(topology, preferred)}
	v4 := n - n*3/10
	g.blocks = make([]block.Block, 0, n)
	// The gaps are sized so that the blocks cover the address space from 1.0.0.0
	// to about 223.0.0.0, and 2400::/16.
	g.generateIPv4(v4, uint64(222<<24)/uint64(v4+1))
	g.generateIPv6(n-v4, uint64(1<<48)/uint64(n-v4+1))
	return g.blocks
}

// homes returns one home per failure domain, sorted by region.
func homes(topology block.Topology, preferred bool) []block.Home {
	var out []block.Home
	for _, r := range slices.Sorted(maps.Keys(topology)) {
		domains := topology[r]
		for i, d := range domains {
			h := block.Home{Region: r}
			if preferred {
				h.Domains = append(h.Domains, d)
			}
			if j := (i + 1) % len(domains); preferred && j != i {
				h.Domains = append(h.Domains, domains[j])
			}
			out = append(out, h)
		}
	}
	return out
}

// Table builds a table of Blocks.
func Table(n int, topology block.Topology, preferred bool, seed uint64) *block.Table {
	b := block.NewBuilder(nil)
	for _, x := range Blocks(n, topology, preferred, seed) {
		if err := b.Add(x.Prefix, x.Home); err != nil {
			panic(err) // the generator makes only valid prefixes
		}
	}
	t, err := b.Build()
	if err != nil {
		panic(err)
	}
	return t
}

// Addrs returns n client addresses in random blocks of t.
func Addrs(t *block.Table, n int, seed uint64) []netip.Addr {
	rng := rand.New(rand.NewPCG(seed, 1))
	prefixes := make([]netip.Prefix, 0, t.Len())
	for p := range t.All() {
		prefixes = append(prefixes, p)
	}
	addrs := make([]netip.Addr, n)
	for i := range addrs {
		addrs[i] = Addr(prefixes[rng.IntN(len(prefixes))], rng.Uint64())
	}
	return addrs
}

// Addr returns the address in p whose host bits are taken from x.
func Addr(p netip.Prefix, x uint64) netip.Addr {
	if p.Addr().Is4() {
		b := p.Addr().As4()
		v := binary.BigEndian.Uint32(b[:]) | uint32(x)&(uint32(1<<(32-p.Bits()))-1)
		binary.BigEndian.PutUint32(b[:], v)
		return netip.AddrFrom4(b)
	}
	b := p.Addr().As16()
	v := binary.BigEndian.Uint64(b[:]) | x&(uint64(1<<(64-p.Bits()))-1)
	binary.BigEndian.PutUint64(b[:], v)
	binary.BigEndian.PutUint64(b[8:], x)
	return netip.AddrFrom16(b)
}

// generator generates blocks in ascending order of address.
type generator struct {
	rng     *rand.Rand
	homes   []block.Home
	blocks  []block.Block
	home    block.Home
	runLeft int // blocks left in the current run of one home
}

func (g *generator) generateIPv4(n int, step uint64) {
	at := uint64(1 << 24)
	for i := 0; i < n; i++ {
		bits := g.pick(24, 24, 24, 24, 24, 23, 22, 26, 20, 22)
		size := uint64(1) << (32 - bits)
		at = (at + size - 1) &^ (size - 1)
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(at))
		g.appendBlock(netip.PrefixFrom(netip.AddrFrom4(b), bits))
		if bits < 24 && i+1 < n && g.rng.IntN(4) == 0 {
			g.appendBlock(netip.PrefixFrom(netip.AddrFrom4(b), 24))
			i++
		}
		at = g.nextStart(at+size, uint64(1<<24)+uint64(i+1)*step)
	}
}

func (g *generator) generateIPv6(n int, step uint64) {
	const base = 0x2400 << 48
	at := uint64(base)
	for i := 0; i < n; i++ {
		bits := g.pick(48, 48, 48, 48, 56, 56, 56, 52, 44, 48)
		size := uint64(1) << (64 - bits)
		at = (at + size - 1) &^ (size - 1)
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], at)
		g.appendBlock(netip.PrefixFrom(netip.AddrFrom16(b), bits))
		at = g.nextStart(at+size, base+uint64(i+1)*step)
	}
}

// nextStart returns the start for the next block: the end of the last one or, in
// one of 16 cases, due if that is greater.
func (g *generator) nextStart(end, due uint64) uint64 {
	if end < due && g.rng.IntN(16) == 0 {
		return due
	}
	return end
}

func (g *generator) pick(choices ...int) int { return choices[g.rng.IntN(len(choices))] }

// appendBlock appends a block. Runs of adjacent blocks share one home.
func (g *generator) appendBlock(p netip.Prefix) {
	if g.runLeft == 0 {
		g.runLeft = 1 + g.rng.IntN(8)
		g.home = g.homes[g.rng.IntN(len(g.homes))]
	}
	g.runLeft--
	g.blocks = append(g.blocks, block.Block{Prefix: p, Home: g.home})
}
