package daemon

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
)

// lookups answers look-ups on the callers' goroutines, without the core.
type lookups struct {
	views atomic.Pointer[views]

	mu   sync.Mutex
	gate *shift.Gate // nil until a configuration is in force
}

// views are the routing views that a look-up uses, replaced together.
type views struct {
	shifted   *steer.View
	unshifted *steer.View // without traffic shifts; the same view if there are none
}

// update stores the views and the gate that a step has changed.
func (l *lookups) update(r *engine.Ready) {
	if r.View != nil {
		l.views.Store(&views{shifted: r.View, unshifted: r.Unshifted})
	}
	if r.Gate != nil {
		l.mu.Lock()
		l.gate = r.Gate
		l.mu.Unlock()
	}
}

// answer looks up the entry VMs for a client. If moving the client would raise
// the share of look-ups moved by this entry VM above its cap, the client stays
// in its home region.
func (l *lookups) answer(now clock.Time, s fleet.ServiceName, a netip.Addr, out []steer.Choice) steer.Answer {
	v := l.views.Load()
	ans := v.shifted.Lookup(s, a, out)
	if v.shifted == v.unshifted {
		return ans
	}
	if !l.passesGate(now, s, ans) && ans.Moved {
		return v.unshifted.Lookup(s, a, out)
	}
	return ans
}

func (l *lookups) passesGate(now clock.Time, s fleet.ServiceName, a steer.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate == nil || l.gate.Allow(now, s, a.Home, a.ShiftID)
}

// client returns the home region and block of an address. The look-up is not
// counted.
func (l *lookups) client(a netip.Addr) client {
	ans := l.views.Load().unshifted.Lookup("", a, nil)
	return client{home: ans.Home, block: ans.Block}
}
