package config

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/fleet"
)

// convergeWithin bounds the time from the end of all faults to convergence: the
// longest backoff of a reader, the delay before older data is replaced, and a few
// rounds of digests.
const convergeWithin = 30 * time.Second

// TestRandomFaults guards against daemons that have different catalogues or revert
// to an older one. It runs random sequences of changes with lost answers, restarts,
// lost and reordered messages, partitions, outages and restores of the platform
// from older data. The network checks whenever a catalogue is applied that no
// process applies a lower revision and that no two processes apply different
// content under one revision.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		perDomain := rapid.IntRange((5+domains-1)/domains, 12/domains).Draw(t, "per domain")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), domains, perDomain)
		n.maxDelay = rapid.SampledFrom([]time.Duration{2, 60, 300}).Draw(t, "delay") * time.Millisecond
		n.run(3 * time.Second)
		n.reorder = true
		old := n.platform
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			old = n.injectFault(t, i, old)
			n.run(rapid.SampledFrom([]time.Duration{2, 50, 700, 6000, 45000}).Draw(t, "wait") * time.Millisecond)
		}
		n.heal()
		n.run(convergeWithin)
		if err := n.checkConverged(); err != nil {
			t.Fatal(err)
		}
	})
}

// injectFault applies one random change or fault, and returns the data to which
// a later rollback returns the platform.
func (n *network) injectFault(t *rapid.T, i int, old platformStore) platformStore {
	v := rapid.SampledFrom(n.daemons).Draw(t, "daemon")
	w := rapid.SampledFrom(n.daemons).Draw(t, "other")
	switch what := rapid.IntRange(0, 11).Draw(t, "what"); what {
	case 0, 1, 2, 3:
		if v.st != nil {
			n.write(v, fmt.Sprintf("s%d", i%7), rapid.Bool().Draw(t, "lose"))
		}
	case 4:
		n.kill(v)
	case 5:
		n.kill(v)
		n.restart(v)
	case 6:
		n.partitions[[2]fleet.Domain{v.domain, w.domain}] = v.domain != w.domain
	case 7:
		n.domainsWithoutPlatform[v.domain] = !n.domainsWithoutPlatform[v.domain]
	case 8:
		n.platformDown = !n.platformDown
	case 9:
		n.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	case 10:
		if rapid.Bool().Draw(t, "back") {
			n.rollBack(old)
		}
		return n.platform
	case 11:
		for _, x := range n.daemons {
			if x.domain == v.domain {
				n.kill(x)
				n.restart(x)
			}
		}
	}
	return old
}
