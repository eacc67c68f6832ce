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
	o := &t.svc.occupancy
	o.load += load - t.countedLoad
	o.slots += slots - t.countedSlots
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
func (r *Reducer) expireReports(now clock.Time, o *occupancy) {
	for o.next < len(o.reports) && now.Sub(o.reports[o.next].at) >= loadReportTTL {
		r.updateOccupancy(now, o.reports[o.next].target)
		o.next++
	}
	if o.next > len(o.reports)/2 {
		o.reports = append(o.reports[:0], o.reports[o.next:]...)
		o.next = 0
	}
}

// lacksHeadroom reports whether less than minHeadroom of the own region's slots is
// free. As long as a slot is free in the own region, the cost of a request is lower
// there. So cost alone would fill the region to the last slot before the share
// moves, and the share moves too slowly for a sudden rise in load.
func (r *Reducer) lacksHeadroom(now clock.Time, s *service) bool {
	o := &s.occupancy
	r.expireReports(now, o)
	return float64(o.slots-o.load) < minHeadroom*float64(o.slots)
}
