package tally

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// countInterval is the time between two cuts of the own counts.
const countInterval = time.Second

// flow is what one shift moves of one service, as counted here.
type flow struct {
	key       Key
	shift     string
	service   fleet.ServiceName
	from      fleet.Region
	intervals []shift.Count // oldest first, each beginning where the last ends
}

// localCounts is the own count of all moving shifts.
type localCounts struct {
	counter     *shift.Counter // nil while nothing moves
	flows       []flow
	takenCounts []shift.Count // reused
	nextCut     clock.Time    // of the next cut
}

// movingFlows returns the flows of c in the order in which shift.Counter counts
// them, without their slices.
func movingFlows(now clock.Time, c *catalogue.Catalogue) (*shift.Counter, []flow) {
	k := shift.NewCounter(now, c)
	var flows []flow
	for _, n := range k.Take(now, nil) {
		s, _ := c.Shift(n.Shift)
		flows = append(flows, flow{key: flowKey(n.Shift, n.Service), shift: n.Shift, service: n.Service, from: s.From})
	}
	if len(flows) == 0 {
		return nil, nil
	}
	return k, flows
}

// configure takes the shifts of a catalogue. Flows that go on keep their
// slices: a step of one shift must not cost all others their windows. It
// reports whether the flows have changed.
func (n *localCounts) configure(now clock.Time, c *catalogue.Catalogue) (changed bool) {
	counter, flows := movingFlows(now, c)
	if sameFlows(flows, n.flows) {
		return false
	}
	n.endInterval(now)
	for i := range flows {
		for j := range n.flows {
			if sameFlow(&flows[i], &n.flows[j]) {
				flows[i].intervals = n.flows[j].intervals
			}
		}
	}
	n.counter, n.flows = counter, flows
	n.nextCut = clock.Never
	if counter != nil {
		n.nextCut = now.Add(countInterval)
	}
	return true
}

// sameFlow compares the sender as well: a shift that was removed and recreated
// under its old id counts other clients.
func sameFlow(a, b *flow) bool { return a.key == b.key && a.from == b.from }

func sameFlows(a, b []flow) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameFlow(&a[i], &b[i]) {
			return false
		}
	}
	return true
}

// endInterval ends the slice that is being counted.
func (n *localCounts) endInterval(now clock.Time) {
	if n.counter == nil {
		return
	}
	n.takenCounts = n.counter.Take(now, n.takenCounts[:0])
	for i := range n.takenCounts {
		n.flows[i].addInterval(n.takenCounts[i])
	}
	n.nextCut = now.Add(countInterval)
}

// addInterval appends a slice and drops those that the window doesn't need. A slice
// that follows a short one joins it, so that many changes of the catalogue in
// a row don't make many slices.
func (f *flow) addInterval(c shift.Count) {
	last := len(f.intervals) - 1
	if last >= 0 && f.intervals[last].Until.Sub(f.intervals[last].Since) < countInterval/2 {
		f.intervals[last].Extend(&c)
	} else {
		f.intervals = append(f.intervals, c)
	}
	f.intervals = f.intervals[f.windowStart():]
}

// windowStart returns the first of the fewest latest slices that cover a whole
// window, or 0 if all of them don't.
func (f *flow) windowStart() int {
	for i := len(f.intervals) - 1; i > 0; i-- {
		if f.coversWindow(i) {
			return i
		}
	}
	return 0
}

// coversWindow reports whether the slices from i on make a whole window.
func (f *flow) coversWindow(i int) bool {
	return f.intervals[len(f.intervals)-1].Until.Sub(f.intervals[i].Since) >= shift.CountWindow
}

// window returns the count of the last whole window. It reports false if this
// process hasn't counted the flow for that long: what it has would pass for a
// whole window, and a busy flow for an idle one.
func (f *flow) window() (shift.Count, bool) {
	if len(f.intervals) == 0 || !f.coversWindow(f.windowStart()) {
		return shift.Count{}, false
	}
	c := f.intervals[f.windowStart()]
	for i := f.windowStart() + 1; i < len(f.intervals); i++ {
		c.Extend(&f.intervals[i])
	}
	return c, true
}

// services returns the services of all flows, each once.
func (n *localCounts) services() []fleet.ServiceName {
	var names []fleet.ServiceName
	seen := make(map[fleet.ServiceName]bool)
	for i := range n.flows {
		if s := n.flows[i].service; !seen[s] {
			seen[s] = true
			names = append(names, s)
		}
	}
	return names[:min(len(names), MaxLoads)]
}
