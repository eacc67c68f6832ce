package shift

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Span is the window in which a figure was measured, on the clock of the
// process that plans. Reports carry ages instead of instants, so that a wrong
// clock at the reporting VM cannot make an old figure look new.
type Span struct {
	Since, Until clock.Time
}

// fresh reports whether the window is not empty and ended within maxAge before
// now. A window that ends in the future is an error and not fresh.
func (s Span) fresh(now clock.Time, maxAge time.Duration) bool {
	return s.Since < s.Until && s.Until <= now && now.Sub(s.Until) <= maxAge
}

// Load is the load of one service in one region. The figures cover the targets
// of all its failure domains.
type Load struct {
	Region  fleet.Region
	Service fleet.ServiceName
	Span
	State      fleet.State     // of the region, according to membership
	Capacity   float64         // slots of its live targets
	InFlight   float64         // mean number of requests at targets or waiting for one
	Requests   uint64          // answered or failed in the window
	ErrorShare catalogue.Share // failed share of Requests
	P99        time.Duration   // latency at the region's entry VMs
	Warming    bool            // caches are cold and slow start is in force
	Missing    int             // live entry VMs whose report is not included
}

// valid reports whether all figures are in their ranges.
func (l *Load) valid() bool {
	return finite(l.Capacity) && finite(l.InFlight) && l.ErrorShare <= catalogue.ShareUnit && l.P99 >= 0
}

func finite(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// failing reports whether the region can't serve the service.
func (l *Load) failing() bool { return l.State != fleet.Live || l.Capacity == 0 }

// Positions is the number of equal ranges of positions for which requests are
// counted separately.
const Positions = 100

const unitsPerPosition = catalogue.ShareUnit / Positions

// Count is the traffic of one service from one shift's sender, as counted by
// all entry VMs in one window: every request of clients at home in the sender,
// wherever it was served.
type Count struct {
	Shift   string
	Service fleet.ServiceName
	Span
	Total      uint64            // requests
	Moved      uint64            // requests that the shift moved out of the sender
	ByPosition [Positions]uint64 // Total by range of positions, moved or not
	Busy       time.Duration     // time spent at targets, summed over requests
	Missing    int               // live entry VMs whose count is not included
}

// Demand returns the mean number of slots that the sender's clients occupy.
func (c *Count) Demand() float64 {
	if c.Until <= c.Since {
		return 0
	}
	return c.Busy.Seconds() / c.Until.Sub(c.Since).Seconds()
}

// valid reports whether the count is consistent.
func (c *Count) valid() bool {
	var sum uint64
	for _, n := range c.ByPosition {
		sum += n
	}
	return sum == c.Total && c.Moved <= c.Total && c.Busy >= 0
}

// fractionBelow returns the fraction of requests, 0 to 1, whose position lies
// below share. A range of positions that share splits counts in full, because a
// single busy block may lie anywhere in it.
func (c *Count) fractionBelow(share catalogue.Share) float64 {
	if c.Total == 0 {
		return 0
	}
	var sum uint64
	for _, n := range c.ByPosition[:positionsBelow(share)] {
		sum += n
	}
	return float64(sum) / float64(c.Total)
}

func positionsBelow(share catalogue.Share) int {
	n := (int(share) + unitsPerPosition - 1) / unitsPerPosition
	return min(n, Positions)
}

// Evidence holds all measurements that plans use: one Load per region and
// service and one Count per shift and service, in any order.
type Evidence struct {
	Loads  []Load
	Counts []Count
}

func (e *Evidence) load(r fleet.Region, s fleet.ServiceName) *Load {
	for i := range e.Loads {
		if e.Loads[i].Region == r && e.Loads[i].Service == s {
			return &e.Loads[i]
		}
	}
	return nil
}

func (e *Evidence) count(shift string, s fleet.ServiceName) *Count {
	for i := range e.Counts {
		if e.Counts[i].Shift == shift && e.Counts[i].Service == s {
			return &e.Counts[i]
		}
	}
	return nil
}
