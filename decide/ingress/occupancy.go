package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
)

// occupancy counts the used slots of a service in the own region. It is updated
// with each change, because every request reads it.
type occupancy struct {
	load, slots int
	// reports are targets' reports about requests of other entry VMs, ordered by
	// time. They count for loadReportTTL.
	reports []loadReport
	next    int // index of the first report that still counts
}

// loadReport records when a target reported its load.
type loadReport struct {
	target *targetState
	at     clock.Time
}

// updateOccupancy updates the occupancy after a change of t.
func (r *Reducer) updateOccupancy(now clock.Time, t *targetState) {
	if !r.isLocal(t) || t.svc == nil {
		return
	}
	load, slots := 0, 0
	if t.listed {
		slots = t.effectiveSlots()
		load = min(t.load(now), slots)
	}
	c := &t.svc.occupancy
	c.load += load - t.countedLoad
	c.slots += slots - t.countedSlots
	t.countedLoad, t.countedSlots = load, slots
}

// recordLoadReport records that t has just reported its load.
func (r *Reducer) recordLoadReport(now clock.Time, t *targetState) {
	if r.isLocal(t) && t.otherLoad > 0 {
		r.expireReports(now, &t.svc.occupancy)
		t.svc.occupancy.reports = append(t.svc.occupancy.reports, loadReport{target: t, at: now})
	}
	r.updateOccupancy(now, t)
}

// expireReports updates the occupancy for targets whose reports have expired.
func (r *Reducer) expireReports(now clock.Time, c *occupancy) {
	for c.next < len(c.reports) && now.Sub(c.reports[c.next].at) >= loadReportTTL {
		r.updateOccupancy(now, c.reports[c.next].target)
		c.next++
	}
	if c.next > len(c.reports)/2 {
		c.reports = append(c.reports[:0], c.reports[c.next:]...)
		c.next = 0
	}
}

// lacksHeadroom reports whether less than minHeadroom of the own region's slots is
// free. As long as a slot is free in the own region, the cost of a request is lower
// there. So cost alone would fill the region to the last slot before the share
// moves, and the share moves too slowly for a sudden rise in load.
func (r *Reducer) lacksHeadroom(now clock.Time, s *service) bool {
	c := &s.occupancy
	r.expireReports(now, c)
	return float64(c.slots-c.load) < minHeadroom*float64(c.slots)
}
