package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
)

// regionShift bounds how fast the share of requests that run in other regions
// rises. A region whose share jumps hands caches and load to another one that
// is not prepared for it.
type regionShift struct {
	now, before shiftCount
	began       clock.Time // of the window that now counts
}

// shiftCount counts the requests of one window.
type shiftCount struct{ all, remote int }

// shiftFew is the number of requests in a window below which shares mean
// nothing.
const shiftFew = 10

func (s *regionShift) turn(now clock.Time) {
	switch passed := now.Sub(s.began); {
	case passed < shiftWindow:
	case passed < 2*shiftWindow:
		s.before, s.now = s.now, shiftCount{}
		s.began = s.began.Add(shiftWindow)
	default:
		s.before, s.now = shiftCount{}, shiftCount{}
		s.began = now
	}
}

// room reports whether one more request may run in another region. more is the
// part of the requests by which their share may rise from window to window.
func (s *regionShift) room(now clock.Time, more float64) bool {
	s.turn(now)
	if s.before.all < shiftFew {
		return true
	}
	share := float64(s.before.remote)/float64(s.before.all) + more
	expected := max(float64(s.now.all+1), float64(s.before.all)*float64(now.Sub(s.began))/float64(shiftWindow))
	return float64(s.now.remote+1) <= share*expected
}

// countRegion counts a request with the region of its target.
func (r *Reducer) countRegion(now clock.Time, t *targetState) {
	r.shift.turn(now)
	r.shift.now.all++
	if t.region != r.region {
		r.shift.now.remote++
	}
}
