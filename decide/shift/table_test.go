package shift

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

func tableOf(shifts ...catalogue.Shift) *Table {
	return NewTable(&catalogue.Catalogue{Shifts: shifts})
}

func running(id string, from, to fleet.Region, share catalogue.Share) catalogue.Shift {
	return catalogue.Shift{ID: id, From: from, To: to, Share: share, State: catalogue.Running, Limits: catalogue.Limits{MaxShare: share}}
}

// TestGrowingShareOnlyAddsBlocks checks that a growing share only adds blocks
// and moves its proportional part of them.
func TestGrowingShareOnlyAddsBlocks(t *testing.T) {
	is := is.New(t)
	const blocks = 20000
	rng := rand.New(rand.NewPCG(1, 2))
	moved := make([]int, 11)
	for range blocks {
		b := rng.Uint64()
		before := false
		for i := range moved {
			s := running("drain", "attiki", "kriti", catalogue.Share(i*1000))
			_, id, now := tableOf(s).Region("x", "attiki", b)
			is.Equal(now, Moved(&s, b))
			is.True(now || !before) // no block moves back as the share grows
			is.True(!now || id == "drain")
			before = now
			if now {
				moved[i]++
			}
		}
	}
	for i, n := range moved {
		is.True(n >= blocks*i/10-400 && n <= blocks*i/10+400)
	}
	is.Equal(moved[0], 0)
	is.Equal(moved[10], blocks)
}

// TestShiftsFromOneRegion checks that the shift with the lower id moves the
// blocks that two shifts select, that each moves at most its share, and that
// the order in the catalogue doesn't matter.
func TestShiftsFromOneRegion(t *testing.T) {
	is := is.New(t)
	a, b := running("a", "attiki", "kriti", 3000), running("b", "attiki", "", 5000)
	one, two := tableOf(a, b), tableOf(b, a)
	rng := rand.New(rand.NewPCG(3, 4))
	count := map[string]int{}
	for range 10000 {
		block := rng.Uint64()
		to, id, moved := one.Region("x", "attiki", block)
		to2, id2, moved2 := two.Region("x", "attiki", block)
		is.True(to == to2 && id == id2 && moved == moved2)
		is.True(id != "b" || to == "")
		is.True(!Moved(&a, block) || id == "a")
		count[id]++
	}
	is.True(count["a"] > 2800 && count["a"] < 3200)
	is.True(count["b"] > 3300 && count["b"] < 3700) // half of the blocks that a doesn't move
}

func TestTableMovesOnlyMatchingTraffic(t *testing.T) {
	is := is.New(t)
	s := running("drain", "attiki", "kriti", catalogue.ShareUnit)
	s.Service = worldService
	done := running("done", "makedonia", "kriti", catalogue.ShareUnit)
	done.State = catalogue.RolledBack
	table := tableOf(s, done)
	_, _, moved := table.Region("permit-file", "attiki", 1)
	is.True(!moved)
	_, _, moved = table.Region(worldService, "kriti", 1)
	is.True(!moved) // at home in the receiver
	_, _, moved = table.Region(worldService, "makedonia", 1)
	is.True(!moved) // rolled back
	_, _, moved = table.Region(worldService, "attiki", 1)
	is.True(moved)
}

// TestGateKeepsCap guards against a shift that moves half of all look-ups under
// a cap of a tenth because one caller's block grows and makes every second
// look-up: a share of blocks is not a share of look-ups.
func TestGateKeepsCap(t *testing.T) {
	is := is.New(t)
	s := running("drain", "attiki", "kriti", 1000)
	s.Service = worldService
	g := NewGate(0, &catalogue.Catalogue{Shifts: []catalogue.Shift{s}})
	total, moved := 0, 0
	for i := range 10000 {
		by := ""
		if i%2 == 0 {
			by = "drain"
		}
		total++
		if g.Allow(at(time.Duration(i)*time.Millisecond), worldService, "attiki", by) {
			moved++
		}
		is.True(moved*10 <= total)
	}
	is.True(moved >= 999) // the cap is used in full
	is.True(!g.Allow(0, worldService, "attiki", "unknown"))
	is.True(!g.Allow(0, worldService, "kriti", "drain"))
	is.True(!g.Allow(at(2*GateWindow), worldService, "attiki", "drain")) // a new window
}

func TestCounter(t *testing.T) {
	is := is.New(t)
	s := running("drain", "attiki", "kriti", 5000)
	c := &catalogue.Catalogue{Services: []catalogue.Service{{Name: worldService}, {Name: "permit-file"}}, Shifts: []catalogue.Shift{s}}
	k := NewCounter(at(0), c)
	rng := rand.New(rand.NewPCG(5, 6))
	for range 10000 {
		b := rng.Uint64()
		by := ""
		if Moved(&s, b) {
			by = "drain"
		}
		k.RecordRequest(worldService, "attiki", b, by, 10*time.Millisecond)
		k.RecordRequest(worldService, "kriti", b, "", time.Hour)
	}
	counts := k.Take(at(10*time.Second), nil)
	is.Equal(len(counts), 2)
	got := &counts[0]
	is.True(got.valid())
	is.Equal(got.Total, uint64(10000))
	is.Equal(got.Demand(), 10.0) // 10 ms each, 1000 a second
	is.True(got.fractionBelow(5000) == float64(got.Moved)/10000)
	is.Equal(counts[1].Total, uint64(0))
	next := k.Take(at(20*time.Second), nil)
	is.Equal(next[0].Total, uint64(0))

	longer := *got
	longer.Extend(&next[0])
	is.Equal(longer.Demand(), 5.0)
	both := *got
	late := *got
	late.Since, late.Until, late.Missing = at(-time.Second), at(9*time.Second), 2
	both.Merge(&late)
	is.Equal(both.Total, uint64(20000))
	is.Equal(both.Span, late.Span)
	is.Equal(both.Missing, 2)
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	s := running("drain", "attiki", "kriti", 5000)
	s.Service = worldService
	c := &catalogue.Catalogue{Shifts: []catalogue.Shift{s}}
	table, g, k := NewTable(c), NewGate(0, c), NewCounter(0, c)
	var block uint64
	is.Equal(testing.AllocsPerRun(1000, func() {
		block += 1 << 40
		_, id, _ := table.Region(worldService, "attiki", block)
		g.Allow(0, worldService, "attiki", id)
		k.RecordRequest(worldService, "attiki", block, id, time.Millisecond)
	}), 0.0)
}

func BenchmarkRegion(b *testing.B) {
	table := tableOf(running("a", "attiki", "kriti", 3000), running("b", "attiki", "", 5000))
	b.ReportAllocs()
	var block uint64
	for b.Loop() {
		block += 1 << 40
		table.Region(worldService, "attiki", block)
	}
}

func BenchmarkRecordRequest(b *testing.B) {
	c := &catalogue.Catalogue{Services: []catalogue.Service{{Name: worldService}}, Shifts: []catalogue.Shift{running("a", "attiki", "kriti", 3000)}}
	k := NewCounter(0, c)
	b.ReportAllocs()
	var block uint64
	for b.Loop() {
		block += 1 << 40
		k.RecordRequest(worldService, "attiki", block, "", time.Millisecond)
	}
}
