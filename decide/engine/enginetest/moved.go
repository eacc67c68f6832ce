package enginetest

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
)

// moves counts look-ups or requests at home in the region that a shift moves
// traffic from, and those of them that it has moved.
type moves struct{ total, moved int }

// over is how much more than the cap was moved, as a part of one.
func (m moves) over(cap float64) float64 { return float64(m.moved)/float64(m.total) - cap }

// movedKey names the traffic of a shift.
type movedKey struct {
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
	moves
}

// checkLookup counts a look-up at one entry VM, and checks that its moves have
// stayed within the cap since the catalogue in force came into force there.
func (b *Books) checkLookup(v *VM, s fleet.ServiceName, a steer.Answer) {
	for i := range v.shifts() {
		x := &v.shifts()[i]
		if !x.State.Moves() || x.From != a.Home || !concerns(x, s) {
			continue
		}
		k := movedKey{x.ID, s}
		m := v.lookups[k]
		m.total++
		if a.Moved && a.ShiftID == x.ID {
			m.moved++
		}
		v.lookups[k] = m
		if m.moved*catalogue.ShareUnit > m.total*int(x.Limits.MaxShare) {
			b.violate("%s moves %d of %d look-ups of %s by %s, whose cap is %d", v.Self.ID, m.moved, m.total, s, x.ID, x.Limits.MaxShare)
		}
	}
}

func concerns(x *catalogue.Shift, s fleet.ServiceName) bool { return x.Service == "" || x.Service == s }

func (v *VM) shifts() []catalogue.Shift {
	if v.catalogue == nil {
		return nil
	}
	return v.catalogue.Shifts
}

// answeredBy counts a request that its caller has the answer to, by the shift
// that moved the look-up it follows.
func (b *Books) answeredBy(s fleet.ServiceName, home fleet.Region, movedBy string) {
	shifts := b.w.Platform.Catalogue().Shifts
	for i := range shifts {
		x := &shifts[i]
		if x.From != home || !concerns(x, s) {
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
func (b *Books) window(x *catalogue.Shift) *window {
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

// minMoved is the least number of requests in a window that a share is taken
// of.
const minMoved = 200

// closeWindow checks a window that has ended.
func (b *Books) closeWindow(shift string, m *window) {
	if m.total < minMoved {
		return
	}
	over := m.over(m.cap)
	b.Counts.Windows++
	b.Counts.MovedOver = max(b.Counts.MovedOver, int(over*catalogue.ShareUnit))
	if b.Even && over > Tolerance(m.cap, m.total) {
		b.violate("%s moved %d of %d answered requests, with a cap of %v", shift, m.moved, m.total, m.cap)
	}
}

// perLookup bounds the requests that follow one look-up where callers send
// evenly.
const perLookup = 16

// Tolerance is how far above the cap the counted share of n requests may be by
// chance alone. The gate bounds look-ups. As up to perLookup requests follow
// one, n requests are worth n/perLookup draws, of which the share has the
// standard deviation √(cap·(1−cap)·perLookup/n); the tolerance is three.
func Tolerance(cap float64, n int) float64 {
	return 3 * math.Sqrt(cap*(1-cap)*perLookup/float64(n))
}
