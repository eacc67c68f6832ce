package tally

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// countIntervalLength is the length of the intervals of the local counts.
const countIntervalLength = time.Second

// flow is the part of one service's traffic that one shift moves, with the local
// counts of it.
type flow struct {
	key       Key
	shift     string
	service   fleet.ServiceName
	from      fleet.Region
	intervals []shift.Count // oldest first, each beginning where the last ends
}

// localCounts holds this entry VM's counts of all shifts that move traffic.
type localCounts struct {
	counter     *shift.Counter // nil while no shift moves traffic
	flows       []flow
	takenCounts []shift.Count // reused
	intervalEnd clock.Time    // end of the current interval
}

// movingFlows returns a counter for c, and the flows of c in the order in which
// that counter counts them, without intervals.
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

// configure applies the shifts of a catalogue, and reports whether the flows
// have changed. Flows that continue keep their intervals: a step of one shift
// must not empty the windows of all others.
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
	n.intervalEnd = clock.Never
	if counter != nil {
		n.intervalEnd = now.Add(countIntervalLength)
	}
	return true
}

// sameFlow compares the sender as well, because a shift that was removed and
// recreated under its old id may count other clients.
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

// endInterval ends the current interval and starts the next.
func (n *localCounts) endInterval(now clock.Time) {
	if n.counter == nil {
		return
	}
	n.takenCounts = n.counter.Take(now, n.takenCounts[:0])
	for i := range n.takenCounts {
		n.flows[i].addInterval(n.takenCounts[i])
	}
	n.intervalEnd = now.Add(countIntervalLength)
}

// addInterval appends an interval and drops those that the window doesn't need.
// If the last interval is short, it is extended instead, so that many changes
// of the catalogue in a row don't create many intervals.
func (f *flow) addInterval(c shift.Count) {
	last := len(f.intervals) - 1
	if last >= 0 && f.intervals[last].Until.Sub(f.intervals[last].Since) < countIntervalLength/2 {
		f.intervals[last].Extend(&c)
	} else {
		f.intervals = append(f.intervals, c)
	}
	f.intervals = f.intervals[f.windowStart():]
}

// windowStart returns the index of the latest interval from which on a whole
// window is covered, or 0 if all intervals together don't cover one.
func (f *flow) windowStart() int {
	for i := len(f.intervals) - 1; i > 0; i-- {
		if f.coversWindow(i) {
			return i
		}
	}
	return 0
}

// coversWindow reports whether the intervals from index i on cover a whole
// window.
func (f *flow) coversWindow(i int) bool {
	return f.intervals[len(f.intervals)-1].Until.Sub(f.intervals[i].Since) >= shift.CountWindow
}

// window returns the count of the last whole window. It reports false if this
// process hasn't counted the flow for that long: a shorter count taken for a
// whole window would make a busy flow appear idle.
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
