package enginetest

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
)

// moveCounts counts look-ups or requests at home in the region that a shift moves
// traffic from, and those of them that it has moved.
type moveCounts struct{ total, moved int }

// excess is how much more than the cap was moved, as a part of one.
func (m moveCounts) excess(cap float64) float64 { return float64(m.moved)/float64(m.total) - cap }

// shiftService names the traffic of a shift.
type shiftService struct {
	shift   string
	service fleet.ServiceName
}

// movedWindow is the time over which the answered requests of a shift are
// counted.
const movedWindow = time.Minute

// window counts the answered requests of a shift. It begins when the platform
// first holds a share of the shift.
type window struct {
	since clock.Time
	cap   float64
	moveCounts
}

// checkLookup counts a look-up at one entry VM, and checks that its moves have
// stayed within the cap since the catalogue in force came into force there.
func (b *Checker) checkLookup(v *VM, s fleet.ServiceName, a steer.Answer) {
	for i := range v.shifts() {
		x := &v.shifts()[i]
		if !x.State.Moves() || x.From != a.Home || !appliesTo(x, s) {
			continue
		}
		k := shiftService{x.ID, s}
		m := v.lookups[k]
		m.total++
		if a.Moved && a.ShiftID == x.ID {
			m.moved++
		}
		v.lookups[k] = m
		if m.moved*catalogue.ShareUnit > m.total*int(x.Limits.MaxShare) {
			b.reportViolation("%s moves %d of %d look-ups of %s by %s, whose cap is %d", v.Self.ID, m.moved, m.total, s, x.ID, x.Limits.MaxShare)
		}
	}
}

func appliesTo(x *catalogue.Shift, s fleet.ServiceName) bool {
	return x.Service == "" || x.Service == s
}

func (v *VM) shifts() []catalogue.Shift {
	if v.catalogue == nil {
		return nil
	}
	return v.catalogue.Shifts
}

// countAnswered counts a request that its caller has the answer to, by the shift
// that moved the look-up it follows.
func (b *Checker) countAnswered(s fleet.ServiceName, home fleet.Region, movedBy string) {
	shifts := b.w.Platform.Catalogue().Shifts
	for i := range shifts {
		x := &shifts[i]
		if x.From != home || !appliesTo(x, s) {
			continue
		}
		m := b.window(x)
		if m == nil {
			continue
		}
		m.total++
		if movedBy == x.ID {
			m.moved++
			b.Counts.Moved++
		}
	}
}

// window returns the count that is open for a shift, nil before it moves any.
func (b *Checker) window(x *catalogue.Shift) *window {
	m := b.windows[x.ID]
	if m == nil {
		if x.Share == 0 {
			return nil
		}
		m = &window{since: b.w.Now}
		b.windows[x.ID] = m
	}
	if b.w.Now.Sub(m.since) >= movedWindow {
		b.closeWindow(x.ID, m)
		*m = window{since: b.w.Now}
	}
	m.cap = float64(x.Limits.MaxShare) / catalogue.ShareUnit
	return m
}

// minWindowRequests is the least number of requests in a window that a share is taken
// of.
const minWindowRequests = 200

// closeWindow checks a window that has ended.
func (b *Checker) closeWindow(shift string, m *window) {
	if m.total < minWindowRequests {
		return
	}
	over := m.excess(m.cap)
	b.Counts.Windows++
	b.Counts.MovedOver = max(b.Counts.MovedOver, int(over*catalogue.ShareUnit))
	if b.EvenLoad && over > Tolerance(m.cap, m.total) {
		b.reportViolation("%s moved %d of %d answered requests, with a cap of %v", shift, m.moved, m.total, m.cap)
	}
}

// requestsPerLookup bounds the requests that follow one look-up where callers send
// evenly.
const requestsPerLookup = 16

// Tolerance is how far above the cap the counted share of n requests may be by
// chance alone. The gate bounds look-ups. As up to perLookup requests follow
// one, n requests are worth n/perLookup draws, of which the share has the
// standard deviation √(cap·(1−cap)·perLookup/n); the tolerance is three.
func Tolerance(cap float64, n int) float64 {
	return 3 * math.Sqrt(cap*(1-cap)*requestsPerLookup/float64(n))
}
