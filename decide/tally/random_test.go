package tally

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/shift"
)

// TestRandomFaults: symptom: a step rests on counts that lack or repeat
// requests, or that are older than they seem. Sequence: any mix of lost and
// slow messages, restarts, cut-off domains, wrong clocks and changes of the
// catalogue. Cause: whatever rule of this package the mix breaks. After each
// disturbance the evidence is compared with the requests that were made.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SampledFrom([]int{1, 2, 3, 6, smallFleet + 2}).Draw(t, "domains")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), domains, rapid.IntRange(1, max(1, 12/domains)).Draw(t, "per"))
		n.run(settle)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			n.disturb(t)
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				n.run(time.Second)
				n.check(t)
			}
		}
		n.heal()
		n.run(settle)
		n.check(t)
		if c := n.count(); c.Missing > 0 || n.now.Sub(c.Until) > shift.DefaultMaxAge {
			t.Fatalf("not settled: %d missing, %s old", c.Missing, n.now.Sub(c.Until))
		}
	})
}

func (n *network) disturb(t *rapid.T) {
	v := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		n.repeat = rapid.Bool().Draw(t, "repeat")
		n.loss = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "loss")
	case 1:
		v.slow = rapid.SampledFrom([]time.Duration{0, 150, 600, 5000}).Draw(t, "slow") * time.Millisecond
	case 2:
		if v != n.leader {
			n.stop(v)
		}
	case 3:
		v.offset = time.Duration(rapid.IntRange(-9, 9).Draw(t, "offset")) * time.Hour
		n.start(v)
	case 4:
		n.cut[v.vm.Domain] = !n.cut[v.vm.Domain]
		n.announce()
	case 5:
		v.deaf = !v.deaf && v != n.leader
	case 6:
		n.cat = testCatalogue(n.cat.Revision + 1)
		n.cat.Shifts = append(n.cat.Shifts, catalogue.Shift{ID: "other", From: "r1", State: catalogue.Paused})
		if n.cat.Revision%2 == 0 {
			n.cat.Shifts = n.cat.Shifts[:1]
		}
		if v.st != nil {
			n.step(v, &Configured{Catalogue: n.cat})
		}
	}
}

func (n *network) heal() {
	n.loss, n.repeat = 0, false
	clear(n.cut)
	for _, v := range n.nodes {
		v.deaf, v.slow = false, 0
		if v.st == nil {
			n.start(v)
		}
		n.step(v, &Configured{Catalogue: n.cat})
	}
	n.announce()
}

// check compares a complete count with the requests of the entry VMs that the
// leader's domain can reach. All windows lie within its span and the last
// slice; all of them cover the last CountWindow up to the end of the span.
func (n *network) check(t *rapid.T) {
	c := n.count()
	if c.Until > n.now {
		t.Fatalf("the window ends %s in the future", c.Until.Sub(n.now))
	}
	if c.Missing > 0 || c.Since >= c.Until {
		return
	}
	var least, most [shift.Positions]uint64
	for _, v := range n.nodes {
		whole := v.st != nil && !n.parted(n.leader, v) && !n.cut[v.vm.Domain] && v.started < c.Since
		for _, at := range v.served {
			// Requests of one instant fall on either side of a cut there.
			if at >= c.Since.Add(-requestGap) && at <= n.now {
				most[n.second(at)]++
			}
			if whole && at > n.now.Add(-shift.CountWindow+requestGap) && at < c.Until.Add(-requestGap) {
				least[n.second(at)]++
			}
		}
	}
	for i, got := range c.ByPosition {
		if got < least[i] || got > most[i] {
			t.Fatalf("second %d: %d requests counted, %d to %d made; now is %d, the window from %s to %s before",
				i, got, least[i], most[i], n.second(n.now), n.now.Sub(c.Since), n.now.Sub(c.Until))
		}
	}
}
