package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/rank"
)

const (
	// askTimeout is how long a coordinator may take beyond the wait that it was
	// allowed. Inside a region its answer takes a few milliseconds.
	askTimeout = 60 * time.Millisecond
	// avoidFor is how long a coordinator that did not answer is not asked.
	avoidFor = time.Second
)

// coordinator returns the entry VM that places requests for a service at the
// targets of a region: the first of the region's strong VMs by rendezvous
// hashing. It counts every request at a target, so targets are neither overrun
// nor left idle. It returns "" when the region has no entry VM.
//
// A VM with a sixth of a core does not keep up with the asks of a region that
// has a thousand requests a second: askers time out and place by what they know
// themselves, and all of them at the same targets.
func (r *Reducer) coordinator(region fleet.Region, s fleet.ServiceName) fleet.VMID {
	line := r.line(region, s)
	if len(line) == 0 {
		return ""
	}
	return line[0]
}

// line returns the strong VMs of a region in the order in which they are to
// place requests for a service.
func (r *Reducer) line(region fleet.Region, s fleet.ServiceName) []fleet.VMID {
	key := coordination{region, s}
	line, kept := r.lines[key]
	if !kept {
		line = r.strongInOrder(region, string(s))
		r.lines[key] = line
	}
	return line
}

// coordination is what a coordinator is for.
type coordination struct {
	region  fleet.Region
	service fleet.ServiceName
}

// setMembers takes the list of entry VMs.
func (r *Reducer) setMembers(vms []fleet.VM) {
	r.members = vms
	clear(r.lines)
	clear(r.strong)
	clear(r.gateways)
	r.forgetUnlisted()
}

// strongInOrder returns the strong VMs of a region by rendezvous hashing of a
// name: the same order at all VMs that know the same members.
func (r *Reducer) strongInOrder(region fleet.Region, name string) []fleet.VMID {
	strong, kept := r.strong[region]
	if !kept {
		strong = r.strongAmong(func(m *fleet.VM) bool { return m.Region == region || region == anyRegion })
		r.strong[region] = strong
	}
	return rank.Order(name, strong)
}

// strongAmong returns the strong ones of the live VMs that fit.
func (r *Reducer) strongAmong(fits func(*fleet.VM) bool) []fleet.VMID {
	var all []fleet.VM
	for i := range r.members {
		if m := &r.members[i]; m.State == fleet.Live && fits(m) {
			all = append(all, *m)
		}
	}
	strong := fleet.Strong(all)
	ids := make([]fleet.VMID, len(strong))
	for i := range strong {
		ids[i] = strong[i].ID
	}
	return ids
}

// obtain seeks a target for the next send of q.
func (r *Reducer) obtain(now clock.Time, q *request) {
	r.nextAsk++
	a := Ask{
		ID: r.nextAsk, Service: q.svc.name, Route: q.route.Name, Object: q.object,
		Domain: r.opts.Domain, Priority: q.route.Priority, Large: r.large(q), Homes: q.route.Homes,
		Alone: r.mayBeDeadly(now, q), Tried: q.tried, Recalled: r.recalledAt(now, q.svc, q.object),
		Limited: r.limitsOf(now, q.svc),
		Wait:    max(r.queueEnd(q).Sub(now), 0), Left: q.due.Sub(now),
	}
	to := r.placer(now, q.svc.name)
	if to == "" || to == r.opts.Self || !r.on(Coordinators) {
		r.placeHere(now, q, a)
		return
	}
	q.asking = &asking{ask: a, to: to}
	r.asks[a.ID] = q
	r.noteAsk(to, askNumber(a.ID))
	r.tell(to, &a)
	r.timers.add(timer{at: now.Add(a.Wait + askTimeout), purpose: dueAsk, request: q.id, ask: a.ID})
}

// placeHere seeks a target with what this entry VM knows itself.
func (r *Reducer) placeHere(now clock.Time, q *request, a Ask) {
	j := r.newJob(now, jobKey{vm: r.opts.Self, id: a.ID}, a)
	j.req = q
	q.job = j
	r.place(now, j)
}

// askDue goes on without a coordinator that has not answered.
func (r *Reducer) askDue(now clock.Time, q *request, id AskID) {
	if q.asking == nil || q.asking.ask.ID != id {
		return
	}
	a, to := q.asking.ask, q.asking.to
	r.stopAsking(q)
	r.noteSilent(now, to)
	if !now.Before(q.due) {
		return // the process has stood still; the request is about to end
	}
	a.Wait = 0
	a.Left = q.due.Sub(now)
	r.placeHere(now, q, a)
}

// stopAsking withdraws the ask of q, if there is one.
func (r *Reducer) stopAsking(q *request) {
	if q.asking == nil {
		return
	}
	delete(r.asks, q.asking.ask.ID)
	r.noteWithdrawn(q.asking.to, askNumber(q.asking.ask.ID))
	r.tell(q.asking.to, &Withdraw{ID: q.asking.ask.ID})
	q.asking = nil
}

// asking is an ask that a coordinator has not answered.
type asking struct {
	ask Ask
	to  fleet.VMID
}

func (r *Reducer) tell(to fleet.VMID, m Message) {
	r.out.Tells = append(r.out.Tells, Tell{To: to, Message: m})
}

// heard takes a message of another entry VM.
func (r *Reducer) heard(now clock.Time, ev *Heard) {
	switch m := ev.Message.(type) {
	case *Ask:
		r.hearLimits(now, m.Limited)
		r.place(now, r.newJob(now, jobKey{vm: ev.From, id: m.ID}, *m))
	case *Grant:
		r.noteHeard(ev.From)
		r.heardGrant(now, ev.From, m)
	case *Deny:
		r.noteHeard(ev.From)
		if q, ok := r.asks[m.ID]; ok {
			delete(r.asks, m.ID)
			q.asking = nil
			q.svc.share.hear(now, m.Share)
			r.denied(now, q, m.Reason, m.Room)
		}
	case *Withdraw:
		if j, ok := r.jobs[jobKey{vm: ev.From, id: m.ID}]; ok {
			r.withdraw(now, j)
		}
	case *quarantine.Record:
		r.heardQuarantine(now, m)
	case *Report:
		if j, ok := r.jobs[jobKey{vm: ev.From, id: m.ID}]; ok && j.state == jobPlaced {
			r.release(now, j, m)
		}
	}
}

// heardGrant sends a request to the target that the coordinator names. A grant
// for a request that has ended, or for a target that this VM doesn't know or
// knows to be leaving, is given back.
func (r *Reducer) heardGrant(now clock.Time, from fleet.VMID, m *Grant) {
	q, ok := r.asks[m.ID]
	if !ok {
		r.tell(from, &Withdraw{ID: m.ID})
		return
	}
	q.svc.share.hear(now, m.Share)
	a := q.asking.ask
	t, known := r.targets[m.Target]
	if !known || t.Draining || r.evacuated[t.Domain] {
		r.stopAsking(q)
		a.Wait = 0
		r.placeHere(now, q, a)
		return
	}
	delete(r.asks, m.ID)
	q.asking = nil
	r.granted(now, q, nil, t)
	last := q.running[len(q.running)-1]
	last.lender, last.ask = from, m.ID
}
