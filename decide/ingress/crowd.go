package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
)

// crowd counts how much of the own region's slots of a service is taken. It is
// kept up to date with each change, as it is asked for with each request.
type crowd struct {
	load, slots int
	// reports are targets' words about requests of others, which count for
	// reportFor, by their time.
	reports []report
	next    int // the first of reports that still counts
}

type report struct {
	target *targetState
	at     clock.Time
}

// recount takes what has changed at t.
func (r *Reducer) recount(now clock.Time, t *targetState) {
	if !r.here(t) || t.svc == nil {
		return
	}
	load, slots := 0, 0
	if t.listed {
		slots = t.rateSlots()
		load = min(t.load(now), slots)
	}
	c := &t.svc.here
	c.load += load - t.countedLoad
	c.slots += slots - t.countedSlots
	t.countedLoad, t.countedSlots = load, slots
}

// reportedBy notes that t has just stated its load.
func (r *Reducer) reportedBy(now clock.Time, t *targetState) {
	if r.here(t) && t.others > 0 {
		r.expireReports(now, &t.svc.here)
		t.svc.here.reports = append(t.svc.here.reports, report{target: t, at: now})
	}
	r.recount(now, t)
}

// expireReports recounts the targets whose words no longer count.
func (r *Reducer) expireReports(now clock.Time, c *crowd) {
	for c.next < len(c.reports) && now.Sub(c.reports[c.next].at) >= reportFor {
		r.recount(now, c.reports[c.next].target)
		c.next++
	}
	if c.next > len(c.reports)/2 {
		c.reports = append(c.reports[:0], c.reports[c.next:]...)
		c.next = 0
	}
}

// crowded reports whether the targets of the own region have less than headroom
// left. A request that finds a free slot here is answered sooner here, so cost
// alone would fill the region to the last slot before the share moves, and the
// share moves too slowly for the crowd that comes next.
func (r *Reducer) crowded(now clock.Time, s *service) bool {
	c := &s.here
	r.expireReports(now, c)
	return float64(c.slots-c.load) < headroom*float64(c.slots)
}
