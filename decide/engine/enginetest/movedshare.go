package enginetest

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
)

// moveCounts counts the look-ups or requests whose home is the region that a
// shift moves traffic from, and how many of them the shift moved.
type moveCounts struct{ total, moved int }

// excess returns by how much the moved share exceeds the cap.
func (m moveCounts) excess(cap float64) float64 { return float64(m.moved)/float64(m.total) - cap }

// shiftService identifies the traffic of one service that a shift moves.
type shiftService struct {
	shift   string
	service fleet.ServiceName
}

// movedWindow is the length of the window over which the answered requests of a
// shift are counted.
const movedWindow = time.Minute

// window counts the answered requests of a shift. The first one starts when the
// shift's share at the platform is above 0.
type window struct {
	since clock.Time
	cap   float64
	moveCounts
}

// checkLookup counts a look-up at an entry VM. It checks that the look-ups moved
// there have stayed within the cap since the VM's current catalogue came into
// force.
func (ck *Checker) checkLookup(v *VM, s fleet.ServiceName, a steer.Answer) {
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
			ck.reportViolation("%s moves %d of %d look-ups of service %s for shift %s, whose cap is %d", v.Self.ID, m.moved, m.total, s, x.ID, x.Limits.MaxShare)
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

// countAnswered counts a request whose caller has received the answer. movedBy is
// the shift that moved the request's look-up.
func (ck *Checker) countAnswered(s fleet.ServiceName, home fleet.Region, movedBy string) {
	shifts := ck.w.Platform.Catalogue().Shifts
	for i := range shifts {
		x := &shifts[i]
		if x.From != home || !appliesTo(x, s) {
			continue
		}
		m := ck.window(x)
		if m == nil {
			continue
		}
		m.total++
		if movedBy == x.ID {
			m.moved++
			ck.Counts.Moved++
		}
	}
}

// window returns the current window of a shift, or nil if the shift has not moved
// any traffic yet.
func (ck *Checker) window(x *catalogue.Shift) *window {
	m := ck.windows[x.ID]
	if m == nil {
		if x.Share == 0 {
			return nil
		}
		m = &window{since: ck.w.Now}
		ck.windows[x.ID] = m
	}
	if ck.w.Now.Sub(m.since) >= movedWindow {
		ck.closeWindow(x.ID, m)
		*m = window{since: ck.w.Now}
	}
	m.cap = float64(x.Limits.MaxShare) / catalogue.ShareUnit
	return m
}

// minWindowRequests is the minimum number of requests in a window for its share
// to be checked.
const minWindowRequests = 200

// closeWindow checks the moved share of a window that has ended.
func (ck *Checker) closeWindow(shift string, m *window) {
	if m.total < minWindowRequests {
		return
	}
	over := m.excess(m.cap)
	ck.Counts.Windows++
	ck.Counts.MovedOver = max(ck.Counts.MovedOver, int(over*catalogue.ShareUnit))
	if ck.EvenLoad && over > Tolerance(m.cap, m.total) {
		ck.reportViolation("shift %s moved %d of %d answered requests, with a cap of %v", shift, m.moved, m.total, m.cap)
	}
}

// requestsPerLookup is the maximum number of requests that follow one look-up if
// all callers send at the same rate.
const requestsPerLookup = 16

// Tolerance returns how far the moved share of n requests may exceed the cap by
// chance. The gate limits look-ups, and up to requestsPerLookup requests follow
// each of them, so n requests correspond to n/requestsPerLookup draws. The share
// then has the standard deviation √(cap·(1−cap)·requestsPerLookup/n). The
// tolerance is three standard deviations.
func Tolerance(cap float64, n int) float64 {
	return 3 * math.Sqrt(cap*(1-cap)*requestsPerLookup/float64(n))
}
