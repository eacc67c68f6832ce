package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
)

// firstChoices returns the first choice of n clients.
func firstChoices(in steer.Inputs, n int) []steer.Choice {
	v := steer.New(in)
	var out []steer.Choice
	for _, a := range blocktest.Addrs(in.Blocks, n, 3) {
		var c [2]steer.Choice
		v.Lookup(service, a, c[:])
		out = append(out, c[0])
	}
	return out
}

// Guards against cold caches in a whole region when one site fails: clients of
// other sites must keep their entry VM.
func TestSiteLossMovesOnlyItsClients(t *testing.T) {
	is := is.New(t)
	for _, preferred := range []bool{false, true} {
		in := mediumFleet.Inputs(blocktest.Table(20_000, mediumFleet.Topology(), preferred, 1))
		before := firstChoices(in, 20_000)
		lost := in.VMs[5].Site
		for i := range in.VMs {
			if in.VMs[i].Site == lost {
				in.VMs[i].State = fleet.Dead
			}
		}
		moved := 0
		for i, after := range firstChoices(in, 20_000) {
			if before[i].Site != lost {
				is.Equal(after, before[i])
				continue
			}
			moved++
			is.True(after.Site != lost)
		}
		is.True(within(float64(moved)/20_000, 1.0/float64(mediumFleet.Sites), 0.005))
	}
}

// Guards against a weight change that moves clients between other domains. When
// a domain's weight falls by 10%, only clients of that domain may move, in
// proportion to the change, and the same clients must return when it rises
// again.
func TestWeightChangeMovesOnlyItsShare(t *testing.T) {
	is := is.New(t)
	for _, preferred := range []bool{false, true} {
		in := mediumFleet.Inputs(blocktest.Table(20_000, mediumFleet.Topology(), preferred, 1))
		before := firstChoices(in, 20_000)
		key := steer.DomainService{Domain: "r01-d1", Service: service}
		in.Weights = map[steer.DomainService]steer.Weight{key: steer.FullWeight / 10 * 9}
		after := firstChoices(in, 20_000)
		moved, mine := 0.0, 0.0
		for i := range after {
			if before[i].Domain == key.Domain {
				mine++
			}
			if after[i] != before[i] {
				moved++
				is.Equal(before[i].Domain, key.Domain)
				is.Equal(after[i].Region, before[i].Region)
			}
		}
		// Under rendezvous hashing a domain of weight 0.9 beside two of weight
		// 1 has 0.9/2.9 of the clients instead of 1/3.
		want := 1 - 0.9/2.9*3
		if preferred {
			want = 0.1
		}
		is.True(within(moved/mine, want, 0.03))
		in.Weights[key] = steer.FullWeight
		is.Equal(firstChoices(in, 20_000), before)
	}
}

// feedbackLoop models a domain whose clients follow its weight when their
// answers expire and whose load reports lag.
type feedbackLoop struct {
	damper  steer.Damper
	history []steer.Weight // one per second
	changes int            // changes of direction
	up      bool
}

var loopKey = steer.DomainService{Domain: "attiki-1", Service: service}

func (l *feedbackLoop) weight() steer.Weight {
	if w, ok := l.damper.Weights()[loopKey]; ok {
		return w
	}
	return steer.FullWeight
}

// run applies load, as a share of the domain's capacity, for the given number
// of seconds. Callers use a weight that is lag seconds old; a report is 3
// seconds old. It returns the last report.
func (l *feedbackLoop) run(load float64, seconds, lag int) (headroom float64) {
	const reportAge = 3
	for range seconds {
		now := len(l.history)
		l.history = append(l.history, l.weight())
		at := max(0, now-lag-reportAge)
		headroom = max(0, 1-load*float64(l.history[at])/float64(steer.FullWeight))
		old := l.weight()
		seen := clock.FromWall(time.Unix(int64(1000+now), 0))
		if l.damper.Observe(loopKey, headroom, seen, seen.Add(-reportAge*time.Second)) {
			l.step(l.weight() > old)
		}
	}
	return headroom
}

func (l *feedbackLoop) step(up bool) {
	if up != l.up {
		l.changes++
	}
	l.up = up
}

// Guards against two domains that alternate between full and idle, minutes
// apart. After the weight of an overloaded domain falls, reports of the old load
// keep arriving while callers still use their old answers. A weight that follows
// each report falls until its first effect shows, which is too far, and then
// rises too far in the same way.
func TestWeightsDoNotOscillate(t *testing.T) {
	lag := int(steer.TTLSteady / time.Second)
	for _, load := range []float64{1.05, 1.4, 3, 8} {
		is := is.New(t)
		var l feedbackLoop
		l.run(load, 3600, lag)
		rest := l.weight()
		headroom := l.run(load, 3600, lag)
		is.Equal(l.weight(), rest) // has converged
		is.Equal(l.changes, 0)     // without a change of direction
		is.True(headroom >= steer.LowHeadroom && headroom <= steer.HighHeadroom)

		l.run(0.5, 7200, lag)
		is.Equal(l.weight(), steer.FullWeight)
		is.Equal(l.changes, 1)
	}
}

// Guards against a weight that falls twice for one shortage: a report 15 s old
// lowers it, and a second report arrives that was measured just before that step
// could affect the load. The settling time must count from the step and not from
// the report that caused it.
func TestStepCountsFromItsOwnTime(t *testing.T) {
	is := is.New(t)
	var d steer.Damper
	now := clock.FromWall(time.Unix(1000, 0))
	is.True(d.Observe(loopKey, 0, now, now.Add(-15*time.Second)))
	later := now.Add(steer.Settle - time.Second)
	is.True(!d.Observe(loopKey, 0, later, later)) // can't show the step yet
	after := now.Add(steer.Settle)
	is.True(d.Observe(loopKey, 0, after, after))
}

func TestDamperKeepsMinimumAndForgets(t *testing.T) {
	is := is.New(t)
	var d steer.Damper
	at := clock.FromWall(time.Unix(1000, 0))
	for range 100 {
		d.Observe(loopKey, 0, at, at)
		at = at.Add(steer.Settle)
	}
	is.Equal(d.Weights()[loopKey], steer.MinWeight)
	d.Retain(func(steer.DomainService) bool { return false })
	is.Equal(len(d.Weights()), 0)
}
