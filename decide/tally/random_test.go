package tally

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/shift"
)

// TestRandomFaults injects random lost, repeated and slow messages, restarts,
// unreachable domains, clock offsets and changes of the catalogue. After each
// fault it compares the evidence with the requests that were made: a complete
// count must neither lack nor repeat requests, nor be older than it states.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SampledFrom([]int{1, 2, 3, 6, smallFleet + 2}).Draw(t, "domains")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), domains, rapid.IntRange(1, max(1, 12/domains)).Draw(t, "per domain"))
		n.run(settleTime)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			n.injectFault(t)
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				n.run(time.Second)
				n.checkCount(t)
			}
		}
		n.endFaults()
		n.run(settleTime)
		n.checkCount(t)
		if c := n.count(); c.Missing > 0 || n.now.Sub(c.Until) > shift.DefaultMaxAge {
			t.Fatalf("evidence after the end of all faults: %d entry VMs missing, %s old", c.Missing, n.now.Sub(c.Until))
		}
	})
}

func (n *network) injectFault(t *rapid.T) {
	v := n.vms[rapid.IntRange(0, len(n.vms)-1).Draw(t, "entry VM")]
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		n.repeat = rapid.Bool().Draw(t, "repeat")
		n.loss = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "loss")
	case 1:
		v.sendDelay = rapid.SampledFrom([]time.Duration{0, 150, 600, 5000}).Draw(t, "slow") * time.Millisecond
	case 2:
		if v != n.leader {
			n.stopVM(v)
		}
	case 3:
		v.offset = time.Duration(rapid.IntRange(-9, 9).Draw(t, "offset")) * time.Hour
		n.startVM(v)
	case 4:
		n.unreachable[v.vm.Domain] = !n.unreachable[v.vm.Domain]
		n.announce()
	case 5:
		v.dropsIncoming = !v.dropsIncoming && v != n.leader
	case 6:
		n.catalogue = testCatalogue(n.catalogue.Revision + 1)
		n.catalogue.Shifts = append(n.catalogue.Shifts, catalogue.Shift{ID: "other", From: "r1", State: catalogue.Paused})
		if n.catalogue.Revision%2 == 0 {
			n.catalogue.Shifts = n.catalogue.Shifts[:1]
		}
		if v.state != nil {
			n.step(v, &Configured{Catalogue: n.catalogue})
		}
	}
}

func (n *network) endFaults() {
	n.loss, n.repeat = 0, false
	clear(n.unreachable)
	for _, v := range n.vms {
		v.dropsIncoming, v.sendDelay = false, 0
		if v.state == nil {
			n.startVM(v)
		}
		n.step(v, &Configured{Catalogue: n.catalogue})
	}
	n.announce()
}

// checkCount compares a complete count with the requests of the entry VMs that
// the leader's domain can reach. Each window starts no earlier than the count's
// span and covers at least the last CountWindow up to the span's end.
func (n *network) checkCount(t *rapid.T) {
	c := n.count()
	if c.Until > n.now {
		t.Fatalf("the count's window ends %s in the future", c.Until.Sub(n.now))
	}
	if c.Missing > 0 || c.Since >= c.Until {
		return
	}
	var least, most [shift.Positions]uint64
	for _, v := range n.vms {
		whole := v.state != nil && !n.disconnected(n.leader, v) && !n.unreachable[v.vm.Domain] && v.started < c.Since
		for _, at := range v.served {
			// Requests at the instant at which an interval ends may be
			// counted before or after that end.
			if at >= c.Since.Add(-requestGap) && at <= n.now {
				most[n.positionAt(at)]++
			}
			if whole && at > n.now.Add(-shift.CountWindow+requestGap) && at < c.Until.Add(-requestGap) {
				least[n.positionAt(at)]++
			}
		}
	}
	for i, got := range c.ByPosition {
		if got < least[i] || got > most[i] {
			t.Fatalf("position %d: %d requests counted, %d to %d made; the current position is %d, the window lasts from %s to %s ago",
				i, got, least[i], most[i], n.positionAt(n.now), n.now.Sub(c.Since), n.now.Sub(c.Until))
		}
	}
}
