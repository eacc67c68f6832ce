package tally

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// sliceLength is the time between two cuts of the own counts.
const sliceLength = time.Second

// flow is what one shift moves of one service, as counted here.
type flow struct {
	key     Key
	shift   string
	service fleet.ServiceName
	from    fleet.Region
	slices  []shift.Count // oldest first, each beginning where the last ends
}

// counting is the own count of all moving shifts.
type counting struct {
	counter *shift.Counter // nil while nothing moves
	flows   []flow
	cut     []shift.Count // reused
	next    clock.Time    // of the next cut
}

// moving returns the flows of c in the order in which shift.Counter counts
// them, without their slices.
func moving(now clock.Time, c *catalogue.Catalogue) (*shift.Counter, []flow) {
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
func (n *counting) configure(now clock.Time, c *catalogue.Catalogue) (changed bool) {
	counter, flows := moving(now, c)
	if sameFlows(flows, n.flows) {
		return false
	}
	n.take(now)
	for i := range flows {
		for j := range n.flows {
			if sameFlow(&flows[i], &n.flows[j]) {
				flows[i].slices = n.flows[j].slices
			}
		}
	}
	n.counter, n.flows = counter, flows
	n.next = clock.Never
	if counter != nil {
		n.next = now.Add(sliceLength)
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

// take ends the slice that is being counted.
func (n *counting) take(now clock.Time) {
	if n.counter == nil {
		return
	}
	n.cut = n.counter.Take(now, n.cut[:0])
	for i := range n.cut {
		n.flows[i].add(n.cut[i])
	}
	n.next = now.Add(sliceLength)
}

// add appends a slice and drops those that the window doesn't need. A slice
// that follows a short one joins it, so that many changes of the catalogue in
// a row don't make many slices.
func (f *flow) add(c shift.Count) {
	last := len(f.slices) - 1
	if last >= 0 && f.slices[last].Until.Sub(f.slices[last].Since) < sliceLength/2 {
		f.slices[last].Extend(&c)
	} else {
		f.slices = append(f.slices, c)
	}
	f.slices = f.slices[f.begin():]
}

// begin returns the first of the fewest latest slices that cover a whole
// window, or 0 if all of them don't.
func (f *flow) begin() int {
	for i := len(f.slices) - 1; i > 0; i-- {
		if f.covers(i) {
			return i
		}
	}
	return 0
}

// covers reports whether the slices from i on make a whole window.
func (f *flow) covers(i int) bool {
	return f.slices[len(f.slices)-1].Until.Sub(f.slices[i].Since) >= shift.CountWindow
}

// window returns the count of the last whole window. It reports false if this
// process hasn't counted the flow for that long: what it has would pass for a
// whole window, and a busy flow for an idle one.
func (f *flow) window() (shift.Count, bool) {
	if len(f.slices) == 0 || !f.covers(f.begin()) {
		return shift.Count{}, false
	}
	c := f.slices[f.begin()]
	for i := f.begin() + 1; i < len(f.slices); i++ {
		c.Extend(&f.slices[i])
	}
	return c, true
}

// services returns the services of all flows, each once.
func (n *counting) services() []fleet.ServiceName {
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
