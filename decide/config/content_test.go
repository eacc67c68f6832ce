package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// drawChain draws the contents of successive revisions, each of which changes
// some entries of the previous one.
func drawChain(t *rapid.T) []*content {
	c := &catalogue.Catalogue{Revision: 1}
	chain := []*content{mustContent(t, c)}
	for r := range uint64(rapid.IntRange(2, 8).Draw(t, "revisions")) {
		n := &catalogue.Catalogue{Revision: r + 2}
		for i := range 6 {
			id := fmt.Sprintf("e%d", i)
			switch rapid.IntRange(0, 3).Draw(t, "entry") {
			case 0:
				n.Shifts = append(n.Shifts, catalogue.Shift{ID: id, Revision: n.Revision})
				n.Services = append(n.Services, catalogue.Service{Name: fleet.ServiceName(id), Revision: n.Revision})
			case 1, 2:
				if s, ok := c.Shift(id); ok {
					n.Shifts = append(n.Shifts, s)
				}
				if s, ok := c.Service(fleet.ServiceName(id)); ok {
					n.Services = append(n.Services, s)
				}
			}
		}
		c = n
		chain = append(chain, mustContent(t, c))
	}
	return chain
}

func mustContent(t *rapid.T, c *catalogue.Catalogue) *content {
	out, err := newContent(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A delta from any recorded revision must apply to every revision between its
// ends and result in the newest content.
func TestDeltaFromAnyBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := drawChain(t)
		var h history
		for i := 1; i < len(chain); i++ {
			h.record(chain[i-1], chain[i])
		}
		newest := chain[len(chain)-1]
		for from := range len(chain) - 1 {
			d, ok := h.deltaSince(chain[from].cat.Revision, newest, MaxDeltaEntries)
			if !ok {
				t.Fatalf("history has no delta from content %d of the chain", from)
			}
			for base := from; base < len(chain)-1; base++ {
				got, err := chain[base].apply(d)
				if err != nil {
					t.Fatalf("apply delta from content %d to content %d: %v", from, base, err)
				}
				if got.hash() != newest.hash() {
					t.Fatalf("delta from content %d applied to content %d: hash %016x, want %016x", from, base, got.hash(), newest.hash())
				}
			}
		}
	})
}

// Parts of a snapshot that arrive out of order or twice must reproduce the content.
func TestSnapshotParts(t *testing.T) {
	is := is.New(t)
	c := &catalogue.Catalogue{Revision: 3}
	for i := range 3*MaxPartEntries - 10 {
		c.Shifts = append(c.Shifts, catalogue.Shift{ID: fmt.Sprint(i)})
	}
	c.Services = append(c.Services, catalogue.Service{Name: "calc-lookup"})
	whole, err := newContent(c)
	is.NoErr(err)
	parts := splitSnapshot(whole, 0)
	is.Equal(len(parts), 3)
	var a snapshotAssembly
	for _, i := range []int{2, 0, 2} {
		is.NoErr(parts[i].check())
		got, err := a.add(parts[i])
		is.NoErr(err)
		is.Equal(got, nil)
	}
	got, err := a.add(parts[1])
	is.NoErr(err)
	is.Equal(got.hash(), whole.hash())
}

// Guards against daemons in different time zones reporting two contents under one
// revision: a window's time is decoded into the local time zone, and the hash
// would include that time zone.
func TestHashIgnoresZoneAndOrder(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	x := catalogue.Shift{ID: "x", Limits: catalogue.Limits{Window: catalogue.Window{Start: at}}}
	y := x
	y.Limits.Window.Start = at.In(time.FixedZone("Athens", 2*60*60))
	z := catalogue.Shift{ID: "z"}
	h1, err := Hash(&catalogue.Catalogue{Revision: 1, Shifts: []catalogue.Shift{x, z}})
	is.NoErr(err)
	h2, err := Hash(&catalogue.Catalogue{Revision: 1, Shifts: []catalogue.Shift{z, y}})
	is.NoErr(err)
	is.Equal(h1, h2)
	h3, err := Hash(&catalogue.Catalogue{Revision: 2, Shifts: []catalogue.Shift{x, z}})
	is.NoErr(err)
	is.True(h1 != h3)
}

// The loss of a member must not change the order of the others, so that at most
// one new reader results.
func TestMemberLossKeepsRankOrder(t *testing.T) {
	is := is.New(t)
	var ids []fleet.VMID
	for i := range 40 {
		ids = append(ids, fleet.VMID(fmt.Sprintf("attiki-1-%d", i)))
	}
	all := rank.Order("attiki-1", ids)
	without := rank.Order("attiki-1", append(append([]fleet.VMID{}, ids[:7]...), ids[8:]...))
	i := 0
	for _, id := range all {
		if id == ids[7] {
			continue
		}
		is.Equal(without[i], id)
		i++
	}
}

// For every root, the tree must contain every other member exactly once.
func TestTreeReachesEachMemberOnce(t *testing.T) {
	is := is.New(t)
	var ms []Member
	for i := range 43 {
		ms = append(ms, Member{ID: fleet.VMID(fmt.Sprint("v", i)), Domain: "a"})
	}
	for _, root := range ms {
		got := map[fleet.VMID]int{}
		for _, m := range ms {
			v := newView(m, ms)
			for _, c := range v.treeChildren(root.ID) {
				got[c]++
			}
		}
		is.Equal(len(got), len(ms)-1)
		for id, times := range got {
			is.Equal(times, 1)
			is.True(id != root.ID)
		}
	}
}
