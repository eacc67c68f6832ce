package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/rank"
)

const (
	// placementTimeout is how long a coordinator may take to answer beyond the
	// wait that it was allowed. Within a region its answer takes a few
	// milliseconds.
	placementTimeout = 60 * time.Millisecond
	// avoidPeriod is how long a VM that did not answer is not asked again.
	avoidPeriod = time.Second
)

// coordinator returns the entry VM that places requests for a service at the
// targets of a region: the first of the region's strong VMs by rendezvous hashing;
// "" if the region has no entry VM. That VM knows every request in flight at the
// targets, so that they are neither overloaded nor left idle.
//
// Weak VMs are excluded: a VM with a sixth of a core cannot handle the placement
// requests of a region with a thousand requests per second. Its peers would time
// out and place requests with their own knowledge, all of them at the same
// targets.
func (r *Reducer) coordinator(region fleet.Region, s fleet.ServiceName) fleet.VMID {
	order := r.coordinatorOrder(region, s)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// coordinatorOrder returns the strong VMs of a region in the order in which they
// place requests for a service: the coordinator, then its standbys.
func (r *Reducer) coordinatorOrder(region fleet.Region, s fleet.ServiceName) []fleet.VMID {
	key := coordinatorKey{region, s}
	order, cached := r.coordinatorOrders[key]
	if !cached {
		order = r.strongOrder(region, string(s))
		r.coordinatorOrders[key] = order
	}
	return order
}

// coordinatorKey identifies the scope of a coordinator.
type coordinatorKey struct {
	region  fleet.Region
	service fleet.ServiceName
}

// setMembers applies a new list of entry VMs.
func (r *Reducer) setMembers(now clock.Time, vms []fleet.VM) {
	r.members = vms
	r.regionVMs = 0
	for i := range vms {
		r.regionVMs += count(vms[i].State == fleet.Live && vms[i].Region == r.region)
	}
	r.updateIssuers(now)
	for _, s := range r.services {
		s.briefed = "" // the coordinator may have restarted
	}
	clear(r.coordinatorOrders)
	clear(r.strongVMs)
	clear(r.gateways)
	r.forgetRemovedVMs()
}

// strongOrder returns the strong VMs of a region, ordered by rendezvous hashing of
// a name. The order is the same at all VMs that know the same members.
func (r *Reducer) strongOrder(region fleet.Region, name string) []fleet.VMID {
	strong, cached := r.strongVMs[region]
	if !cached {
		strong = r.strongMatching(func(m *fleet.VM) bool { return m.Region == region || region == anyRegion })
		r.strongVMs[region] = strong
	}
	return rank.Order(name, strong)
}

// strongMatching returns the strong VMs (fleet.Strong) among the live ones that
// fits accepts.
func (r *Reducer) strongMatching(fits func(*fleet.VM) bool) []fleet.VMID {
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

// findTarget starts the search for a target for the next send of q.
func (r *Reducer) findTarget(now clock.Time, q *request) {
	p := r.placementRequest(now, q)
	to := r.activeCoordinator(now, q.svc.name)
	if to == "" || to == r.opts.Self || !r.on(Coordinators) {
		r.placeLocally(now, q, p)
		return
	}
	r.briefCoordinator(now, to, q.svc)
	q.pending = &pendingPlacement{request: p, coordinator: to}
	r.placements[p.ID] = q
	r.startProbe(to, probeID(p.ID))
	r.sendMessage(to, &p)
	r.timers.add(timer{at: now.Add(p.MaxWait + placementTimeout), purpose: duePlacement, request: q.id, placement: p.ID})
}

// placementRequest returns the request for a target for the next send of q.
func (r *Reducer) placementRequest(now clock.Time, q *request) PlacementRequest {
	r.nextPlacement++
	return PlacementRequest{
		ID: r.nextPlacement, Service: q.svc.name, Route: q.route.Name, Object: q.object, Account: q.account,
		Domain: r.opts.Domain, Priority: q.priority, Large: r.isLarge(q), AllowedRegions: q.allowedRegions,
		MayCrashTarget: r.mayCrashTarget(now, q), Tried: q.tried, LastTarget: r.lastTargetFor(now, q.svc, q.object),
		Limits:  r.limitsFor(now, q.svc, q.tried),
		MaxWait: max(r.waitDeadline(q).Sub(now), 0), TimeLeft: q.deadline.Sub(now),
	}
}

// placeLocally searches for a target with the knowledge of this entry VM.
func (r *Reducer) placeLocally(now clock.Time, q *request, p PlacementRequest) {
	j := r.newJob(now, jobKey{vm: r.opts.Self, id: p.ID}, p)
	j.req = q
	q.job = j
	r.place(now, j)
}

// placementTimedOut continues without a coordinator that has not answered.
func (r *Reducer) placementTimedOut(now clock.Time, q *request, id PlacementID) {
	if q.pending == nil || q.pending.request.ID != id {
		return
	}
	if q.searchesHedge() {
		r.dropHedgeSearch(now, q, hedge.Placement)
		return
	}
	p, to := q.pending.request, q.pending.coordinator
	r.cancelPlacement(q)
	r.markSilent(now, to)
	if !now.Before(q.deadline) {
		return // the process was stalled; the request is about to end
	}
	p.MaxWait = 0
	p.TimeLeft = q.deadline.Sub(now)
	r.placeLocally(now, q, p)
}

// cancelPlacement withdraws q's pending placement request, if there is one.
func (r *Reducer) cancelPlacement(q *request) {
	if q.pending == nil {
		return
	}
	delete(r.placements, q.pending.request.ID)
	r.endProbe(q.pending.coordinator, probeID(q.pending.request.ID))
	r.sendMessage(q.pending.coordinator, &Withdraw{ID: q.pending.request.ID})
	q.pending = nil
}

// pendingPlacement is a placement request that a coordinator has not answered.
type pendingPlacement struct {
	request     PlacementRequest
	coordinator fleet.VMID
	terms       LimitTerms // of the grant that follows
	cold        bool       // the object is cold at the target of the grant that follows
	// within is set for a second send that saves time; see HedgeRequest.
	within time.Duration
}

func (r *Reducer) sendMessage(to fleet.VMID, m Message) {
	r.out.Messages = append(r.out.Messages, OutgoingMessage{To: to, Message: m})
}

// handleMessage handles a message of another entry VM.
func (r *Reducer) handleMessage(now clock.Time, ev *IncomingMessage) {
	switch m := ev.Message.(type) {
	case *PlacementRequest:
		r.mergeLimits(now, m.Limits)
		if !r.Ready() {
			return // it knows no targets; without an answer, the other VM asks its standby
		}
		r.place(now, r.newJob(now, jobKey{vm: ev.From, id: m.ID}, *m))
	case *GrantTerms:
		if q, ok := r.placements[m.ID]; ok && q.pending.coordinator == ev.From {
			q.pending.terms = m.Terms
		}
	case *Grant:
		r.markResponsive(ev.From)
		r.handleGrant(now, ev.From, m)
	case *Deny:
		r.markResponsive(ev.From)
		if q, ok := r.placements[m.ID]; ok {
			hedged := q.searchesHedge()
			delete(r.placements, m.ID)
			q.pending = nil
			q.svc.share.adopt(now, m.Share)
			if hedged {
				r.hedgeDenied(now, q, m.Reason)
				return
			}
			r.placementDenied(now, q, m.Reason, m.FreeAfter)
		}
	case *Withdraw:
		if j, ok := r.jobs[jobKey{vm: ev.From, id: m.ID}]; ok {
			r.withdraw(now, j)
		}
	case *TargetNotices:
		r.mergeNotices(now, m)
	case *TargetCold:
		r.coldAnnounced(now, m)
	case *TokenRequest:
		r.grantTokens(now, ev.From, m)
	case *TokenGrant:
		r.acceptTokens(now, ev.From, m)
	case *quarantine.Record:
		r.mergeQuarantine(now, m)
	case *Report:
		announced := r.takeAnnouncedPace(ev.From)
		if j, ok := r.jobs[jobKey{vm: ev.From, id: m.ID}]; ok && j.state == jobPlaced {
			m.Load.Pace = announced.percentOf(j.target)
			r.release(now, j, m)
		}
	case *TokenDemand:
		r.demandStated(now, ev.From, m)
	case *TargetPace:
		r.paceAnnounced(now, ev.From, m)
	case *HedgeRequest:
		r.hedgeRequested(now, ev.From, m)
	case *GrantWork:
		if q, ok := r.placements[m.ID]; ok && q.pending.coordinator == ev.From {
			q.pending.cold = m.Cold
		}
	}
}

// handleGrant sends a request to the target that the coordinator granted. A grant
// is returned if its request has ended, or if this VM does not know the target, or
// knows that it is not available or has a rate limit that the coordinator does not know.
func (r *Reducer) handleGrant(now clock.Time, from fleet.VMID, m *Grant) {
	q, ok := r.placements[m.ID]
	if !ok {
		r.sendMessage(from, &Withdraw{ID: m.ID})
		return
	}
	q.svc.share.adopt(now, m.Share)
	if q.searchesHedge() {
		r.handleHedgeGrant(now, q, from, m)
		return
	}
	p := q.pending.request
	t, known := r.targets[m.Target]
	if !known || t.Draining || r.evacuated[t.Domain] {
		r.cancelPlacement(q)
		p.MaxWait = 0
		r.placeLocally(now, q, p)
		return
	}
	terms := q.pending.terms
	if !t.availability.Available() || !r.respectsLimit(now, t, terms) {
		r.returnGrant(now, q, from, t)
		return
	}
	r.sendGranted(now, q, from, m.ID, t, terms)
}

// sendGranted sends q to the target that a coordinator granted.
func (r *Reducer) sendGranted(now clock.Time, q *request, from fleet.VMID, id PlacementID, t *targetState, terms LimitTerms) {
	pending := q.pending
	delete(r.placements, id)
	q.pending = nil
	r.sendTo(now, q, nil, t, terms, classOfGrant(q, pending.cold), pending.within > 0)
	last := q.running[len(q.running)-1]
	last.coordinator, last.placement = from, id
}
