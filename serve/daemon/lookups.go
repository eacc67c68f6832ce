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

// lookups answers look-ups on callers' goroutines, beside the core.
type lookups struct {
	views atomic.Pointer[views]

	mu   sync.Mutex
	gate *shift.Gate // nil until a configuration is in force
}

// views are what look-ups are answered from at one moment.
type views struct {
	shifted   *steer.View
	unshifted *steer.View // the same one where no traffic is shifted
}

// update takes over what a step has changed.
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

// answer looks a client up. A move that would carry the share of look-ups
// moved here over its cap is not answered; the client stays at home.
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
	return l.gate == nil || l.gate.Pass(now, s, a.Home, a.ShiftID)
}

// client tells the home and the block of an address, without counting it.
func (l *lookups) client(a netip.Addr) client {
	ans := l.views.Load().unshifted.Lookup("", a, nil)
	return client{home: ans.Home, block: ans.Block}
}
