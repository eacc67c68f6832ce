package measure

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// upstream models a target.
type upstream struct {
	sim          *simulation
	id           fleet.TargetID
	service      int
	domain       int
	slots        int
	timeFactor   float64 // multiplies all service times
	busy         int
	backlog      []*attempt
	down         bool
	unresponsive bool // down, without closing connections or answering
	warmAt       clock.Time
	generation   int // incremented by each crash
}

func (u *upstream) region() int { return u.domain / domainsPerRegion }

// load returns the number of requests at the target. If it exceeds slots, some
// of them wait.
func (u *upstream) load() int { return u.busy + len(u.backlog) }

func (u *upstream) receive(a *attempt) {
	switch {
	case a.ended || u.unresponsive || u.sim.regionLost[u.region()]:
	case u.down:
		u.fail(a, verdict.NotRun, verdict.ReasonConnect)
	case u.busy < u.slots:
		u.start(a)
	case len(u.backlog) < backlogPerSlot*u.slots:
		u.backlog = append(u.backlog, a)
	default:
		u.fail(a, verdict.NotRun, verdict.ReasonTargetRefused)
	}
}

func (u *upstream) start(a *attempt) {
	u.busy++
	a.running = true
	generation := u.generation
	u.sim.scheduleAfter(u.serviceTime(a), func() {
		if u.generation != generation || !a.running {
			return
		}
		a.running = false
		u.busy--
		u.answer(a)
		u.startBacklog()
	})
}

func (u *upstream) serviceTime(a *attempt) time.Duration {
	mean := u.sim.run.Setup.Services[u.service].Mean
	noise := a.call.noise
	if a.call.sends > 1 {
		noise = u.sim.drawFactor(u.sim.rng)
	}
	f := a.call.size * noise * u.timeFactor
	if u.sim.now < u.warmAt {
		f *= coldFactor
	}
	return time.Duration(float64(mean) * f)
}

// startBacklog starts waiting requests, and drops those that were cancelled or
// are past their deadline.
func (u *upstream) startBacklog() {
	for u.busy < u.slots && len(u.backlog) > 0 {
		a := u.backlog[0]
		u.backlog = u.backlog[1:]
		if !a.ended && u.sim.now < a.deadline {
			u.start(a)
		}
	}
}

func (u *upstream) cancel(a *attempt) {
	if !a.running || u.down {
		a.ended = true
		return
	}
	a.running = false
	u.busy--
	u.startBacklog()
}

func (u *upstream) answer(a *attempt) {
	e := &dispatch.Answered{Req: a.req, Attempt: a.id, Status: 200}
	if u.sim.run.Variant.LoadHints {
		e.Load = &dispatch.LoadHint{InFlight: u.load(), Slots: u.slots}
	}
	u.sim.scheduleAfter(intraDomainLatency, func() {
		if a.ended || u.sim.regionLost[u.region()] {
			return
		}
		a.vm.endAttempt(a.id)
		a.vm.idle[u] = append(a.vm.idle[u], false)
		a.vm.step(e)
	})
}

func (u *upstream) fail(a *attempt, v verdict.Verdict, r verdict.Reason) {
	u.sim.scheduleAfter(intraDomainLatency, func() {
		if a.ended || u.sim.regionLost[u.region()] {
			return
		}
		a.vm.endAttempt(a.id)
		a.vm.step(&dispatch.Failed{Req: a.req, Attempt: a.id, Verdict: v, Reason: r})
	})
}

// crash ends the process of the target; the requests being processed are lost.
func (u *upstream) crash() {
	u.down = true
	u.generation++
	u.busy = 0
	u.backlog = nil
	for _, v := range u.sim.vms {
		delete(v.idle, u)
		for _, a := range v.sortedAttempts() {
			if a.target == u {
				a.running = false
			}
			if a.target == u && !u.unresponsive {
				u.fail(a, verdict.MayHaveRun, verdict.ReasonConnectionLost)
			}
		}
	}
}

func (u *upstream) restart() {
	u.down = false
	u.unresponsive = false
	u.warmAt = u.sim.now.Add(coldTime)
}

// report sends the load endpoint's report to the entry VMs of the domain.
func (u *upstream) report() {
	h := dispatch.Health{Target: u.id, OK: !u.down, InFlight: u.load(), Slots: u.slots, Cold: u.sim.now < u.warmAt, Age: reportLag}
	u.sim.scheduleAfter(reportLag, func() {
		for _, v := range u.sim.vms {
			if v.domain == u.domain {
				c := h
				v.step(&c)
			}
		}
	})
}
