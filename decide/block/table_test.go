package block_test

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/fleet"
)

// model is the reference implementation: a map that is searched by every prefix
// length.
type model map[netip.Prefix]fleet.Region

func (m model) lookup(a netip.Addr) (netip.Prefix, bool) {
	for bits := min(a.BitLen(), 64); bits >= 0; bits-- {
		p, _ := a.Prefix(bits)
		if _, ok := m[p]; ok {
			return p, true
		}
	}
	return netip.Prefix{}, false
}

// randomPrefix draws from a small address space, so that blocks are often nested,
// adjacent or equal.
func randomPrefix(rng *rand.Rand) netip.Prefix {
	x := rng.Uint32N(1 << 14)
	if rng.IntN(2) == 0 {
		lengths := []int{0, 3, 16, 20, 24, 25, 28, 30, 30, 30}
		a := netip.AddrFrom16([16]byte{0x24, 0, byte(x >> 6), byte(x << 2)})
		p, _ := a.Prefix(lengths[rng.IntN(len(lengths))])
		return p
	}
	lengths := []int{0, 1, 6, 8, 12, 16, 17, 20, 24, 31, 32, 24, 24, 24}
	a := netip.AddrFrom4([4]byte{byte(x >> 12), byte(x >> 4), byte(x << 4), byte(x & 3)})
	p, _ := a.Prefix(lengths[rng.IntN(len(lengths))])
	return p
}

func checkModel(t *rapid.T, is *is.I, tab *block.Table, m model, probes []netip.Addr) {
	is.Equal(tab.Len(), len(m))
	for _, a := range probes {
		want, ok := m.lookup(a)
		got, found := tab.Lookup(a)
		is.Equal(found, ok)
		if !ok {
			continue
		}
		is.Equal(got.Prefix, want)
		is.Equal(tab.Home(got.Home).Region, m[want])
	}
}

func probeAddrs(m model, rng *rand.Rand) []netip.Addr {
	probes := []netip.Addr{netip.MustParseAddr("0.0.0.0"), netip.MustParseAddr("255.255.255.255"), netip.MustParseAddr("::")}
	for p := range m {
		probes = append(probes, p.Addr(), p.Addr().Prev(), blocktest.Addr(p, rng.Uint64()), blocktest.Addr(p, ^uint64(0)).Next())
	}
	valid := probes[:0]
	for _, a := range probes {
		if a.IsValid() {
			valid = append(valid, a)
		}
	}
	return valid
}

func TestLookupAndPatchAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := model{}
		for range rapid.IntRange(0, 1500).Draw(t, "built") {
			m[randomPrefix(rng)] = blocktest.RegionName(rng.IntN(5))
		}
		tab := build(is, m)
		checkModel(t, is, tab, m, probeAddrs(m, rng))

		for range 3 {
			old, before := tab, maps.Clone(m)
			for range rapid.IntRange(0, 300).Draw(t, "changed") {
				change(m, rng)
			}
			want := build(is, m)
			var err error
			tab, err = old.Patch(block.Diff(old, want), nil)
			is.NoErr(err)
			is.Equal(tab.Sum(), want.Sum())
			checkModel(t, is, tab, m, probeAddrs(m, rng))
			checkModel(t, is, old, before, probeAddrs(before, rng)) // Patch must not change the old table
		}
	})
}

// change sets a random block or, in one of three cases, removes it.
func change(m model, rng *rand.Rand) {
	p := randomPrefix(rng)
	if rng.IntN(3) == 0 {
		delete(m, p)
		return
	}
	m[p] = blocktest.RegionName(rng.IntN(9))
}

func build(is *is.I, m model) *block.Table {
	b := block.NewBuilder(nil)
	for p, r := range m {
		is.NoErr(b.Add(p, block.Home{Region: r}))
	}
	t, err := b.Build()
	is.NoErr(err)
	return t
}

func TestLookupUnmapsIPv4MappedAddress(t *testing.T) {
	is := is.New(t)
	tab := build(is, model{netip.MustParsePrefix("10.0.0.0/8"): "attiki"})
	m, ok := tab.Lookup(netip.MustParseAddr("::ffff:10.1.2.3"))
	is.True(ok)
	is.Equal(m.Prefix.String(), "10.0.0.0/8")
}

func TestLookupAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tab := blocktest.Table(10_000, blocktest.Topology(3, 6), true, 1)
	addrs := blocktest.Addrs(tab, 100, 1)
	n := testing.AllocsPerRun(100, func() {
		for _, a := range addrs {
			tab.Lookup(a)
		}
	})
	is.Equal(n, 0.0)
}

// Guards against daemons that route by different tables after the same deltas: one
// daemon misses a delta and applies the next one. A delta does not describe
// unchanged blocks, so every table other than its base must reject it.
func TestPatchRefusesWrongDelta(t *testing.T) {
	p, q := netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("11.0.0.0/8")
	home := block.Home{Region: "attiki"}
	is := is.New(t)
	tab := build(is, model{p: "attiki"})
	good := block.Diff(tab, build(is, model{p: "attiki", q: "attiki"}))
	topology := block.Topology{"attiki": nil}

	cases := map[string]struct {
		change func(*block.Delta)
		want   error
	}{
		"other base":      {func(d *block.Delta) { d.From++ }, block.ErrBase},
		"other result":    {func(d *block.Delta) { d.To++ }, block.ErrTruncated},
		"lost block":      {func(d *block.Delta) { d.Set = nil }, block.ErrTruncated},
		"absent removed":  {func(d *block.Delta) { d.Remove = []netip.Prefix{netip.MustParsePrefix("12.0.0.0/8")} }, block.ErrBase},
		"twice":           {func(d *block.Delta) { d.Set = append(d.Set, block.Block{Prefix: q, Home: home}) }, block.ErrConflict},
		"unknown region":  {func(d *block.Delta) { d.Set = []block.Block{{Prefix: q, Home: block.Home{Region: "kriti"}}} }, block.ErrUnknownName},
		"set and removed": {func(d *block.Delta) { d.Remove = []netip.Prefix{q} }, block.ErrConflict},
		"invalid prefix":  {func(d *block.Delta) { d.Remove = []netip.Prefix{{}} }, block.ErrPrefix},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := good
			c.change(&d)
			_, err := tab.Patch(d, topology)
			is.True(errIs(err, c.want))
			is.Equal(tab.Len(), 1)
		})
	}
	next, err := tab.Patch(good, topology)
	is.NoErr(err)
	is.Equal(next.Len(), 2)
}
