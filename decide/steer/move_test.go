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

// firstChoices returns the first choice of every address.
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

// Symptom: caches turn cold all over a region when one site fails.
// Sequence: all entry VMs of one site die.
// Cause: clients of other sites must keep their entry VM.
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

// Symptom: a small change of a weight moves clients between domains that it
// does not concern. Sequence: a domain's weight falls by 10%, then rises again.
// Cause: only clients of that domain may leave it, in the share of the change,
// and the same ones must come back.
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
		// By rendezvous a weight of 0.9 among three keeps 0.9/2.9 of 1/3.
		want := 1 - 0.9/2.9*3
		if preferred {
			want = 0.1
		}
		is.True(within(moved/mine, want, 0.03))
		in.Weights[key] = steer.FullWeight
		is.Equal(firstChoices(in, 20_000), before)
	}
}

// feedbackLoop is a domain whose clients follow the weight once their answers end,
// and whose load reports describe the past.
type feedbackLoop struct {
	damper  steer.Damper
	history []steer.Weight // one a second
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

// run offers load, as a share of the domain's capacity, for some seconds.
// Callers act on a weight lag seconds old; a report is 3 seconds old. It
// returns the last report.
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

// Symptom: two domains take turns at being full and idle, minutes apart.
// Sequence: a domain is overloaded, its weight falls, and reports of the old
// load keep arriving while callers still use their old answers.
// Cause: a weight that follows each report falls until its first effect
// shows, which is too far, and rises too far in the same way.
func TestWeightsDoNotOscillate(t *testing.T) {
	lag := int(steer.TTLSteady / time.Second)
	for _, load := range []float64{1.05, 1.4, 3, 8} {
		is := is.New(t)
		var l feedbackLoop
		l.run(load, 3600, lag)
		rest := l.weight()
		headroom := l.run(load, 3600, lag)
		is.Equal(l.weight(), rest) // comes to rest
		is.Equal(l.changes, 0)     // without ever turning
		is.True(headroom >= steer.LowHeadroom && headroom <= steer.HighHeadroom)

		l.run(0.5, 7200, lag)
		is.Equal(l.weight(), steer.FullWeight)
		is.Equal(l.changes, 1)
	}
}

// Symptom: a weight falls twice for one shortage.
// Sequence: a report 15 s old makes the weight fall; another, measured a moment
// before the fall could show in the load, arrives after it.
// Cause: the fall was dated by the report and not by the instant it was made.
func TestStepCountsFromItsOwnTime(t *testing.T) {
	is := is.New(t)
	var d steer.Damper
	now := clock.FromWall(time.Unix(1000, 0))
	is.True(d.Observe(loopKey, 0, now, now.Add(-15*time.Second)))
	later := now.Add(steer.Settle - time.Second)
	is.True(!d.Observe(loopKey, 0, later, later)) // cannot show the fall yet
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
