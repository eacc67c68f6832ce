package daemon

import (
	"net/netip"
	"sync"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
)

// lookups answers look-ups on callers' goroutines, beside the core.
type lookups struct {
	mu        sync.RWMutex
	view      *steer.View
	unshifted *steer.View

	gateMu sync.Mutex
	gate   *shift.Gate // nil until a configuration is in force
}

// update takes over what a step has changed.
func (l *lookups) update(r *engine.Ready) {
	if r.View != nil {
		l.mu.Lock()
		l.view, l.unshifted = r.View, r.Unshifted
		l.mu.Unlock()
	}
	if r.Gate != nil {
		l.gateMu.Lock()
		l.gate = r.Gate
		l.gateMu.Unlock()
	}
}

// answer looks a client up. A move that would carry the share of look-ups
// moved here over its cap is not answered; the client stays at home.
func (l *lookups) answer(now clock.Time, s fleet.ServiceName, a netip.Addr, out []steer.Choice) steer.Answer {
	l.mu.RLock()
	view, unshifted := l.view, l.unshifted
	l.mu.RUnlock()
	ans := view.Lookup(s, a, out)
	if view == unshifted {
		return ans
	}
	if !l.pass(now, s, ans) && ans.Moved {
		return unshifted.Lookup(s, a, out)
	}
	return ans
}

func (l *lookups) pass(now clock.Time, s fleet.ServiceName, a steer.Answer) bool {
	l.gateMu.Lock()
	defer l.gateMu.Unlock()
	return l.gate == nil || l.gate.Pass(now, s, a.Home, a.ShiftID)
}

// client tells the home and the block of an address, without counting it.
func (l *lookups) client(a netip.Addr) client {
	l.mu.RLock()
	view := l.unshifted
	l.mu.RUnlock()
	ans := view.Lookup("", a, nil)
	return client{home: ans.Home, block: ans.Block}
}
