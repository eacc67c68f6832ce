package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/transit"
)

// Reducer holds the state of the decisions. It is not safe for concurrent use.
type Reducer struct {
	opts    Options
	region  fleet.Region
	groups  map[fleet.Domain]group  // of the own region's failure domains
	scratch [localCandidates]scored // buffer of firstEligible
	rng     *rand.Rand
	out     *Ready

	table     *route.Table
	splits    map[string]*route.Split // by route name
	routes    map[string]*routeState  // by route name
	services  map[fleet.ServiceName]*service
	targets   map[fleet.TargetID]*targetState
	evacuated map[fleet.Domain]bool
	nextLapse clock.Time // the earliest lapsesAt of the targets
	startedAt clock.Time // when the first event was handled; 0: not yet
	stopping  bool       // the process will end soon; see StopAccepting
	// configuredAt is when the configuration came into force.
	configuredAt clock.Time
	behindSince  clock.Time // see Behind
	members      []fleet.VM
	regionVMs    int // live members of the own region
	callerRate   callerRate
	// coordinatorOrders and strongVMs are caches derived from members: the
	// coordinators of a service in order, and the strong VMs of a region
	// (fleet.Strong).
	coordinatorOrders map[coordinatorKey][]fleet.VMID
	strongVMs         map[fleet.Region][]fleet.VMID
	rtts              map[fleet.Region]*movingAverage // in ns

	jobs          map[jobKey]*job          // places taken or waited for
	placements    map[PlacementID]*request // unanswered placement requests
	silent        map[fleet.VMID]*silentVM // coordinators and gateways that did not answer
	nextPlacement PlacementID

	requests map[RequestID]*request
	// awaitingProof are the requests whose callers wait until it is known whether their
	// targets have terminated.
	awaitingProof map[*request]bool
	attempts      map[AttemptID]*attempt
	nextAttempt   AttemptID
	// gateways caches the VMs of a failure domain that forward requests there.
	// forwards are the requests that this VM forwards for others, and
	// forwardsByAttempt the same by attempt.
	gateways          map[fleet.Domain][]fleet.VMID
	detourDomains     []fleet.Domain // see detourTo
	forwards          map[RequestID]*forwarded
	forwardsByAttempt map[AttemptID]*forwarded
	transits          transit.Meter // of the requests that other VMs forward through this one
	timers            timers

	// accounts are the limited client accounts in use at this VM. tokenRequests are
	// unanswered requests for tokens, by ID, with the time at which they were sent.
	accounts      map[route.AccountName]*accountState
	accountList   []*accountState // by name
	issuers       issuers
	isolation     isolation
	tokenRequests map[PlacementID]tokenRequest
	tokenTurn     int        // selects the next VMs to ask for tokens
	tokensAt      clock.Time // when tokens are requested next
	tokensAskedAt clock.Time
	tokenSilent   map[fleet.VMID]clock.Time // VMs that did not answer, and when they are asked again

	removed removedTargets
	links   links

	quarantine      quarantine.List
	toEnforce       []quarantine.Fingerprint // quarantined in this step
	expiryScheduled bool                     // a timer for expired quarantines is set

	// announcedPaces holds the latest TargetPace of each VM until its next Report.
	announcedPaces map[fleet.VMID]TargetPace
}

// New returns a Reducer without a configuration.
func New(o Options) *Reducer {
	return &Reducer{
		opts:              o,
		region:            o.Regions[o.Domain],
		groups:            groupsOf(o.Regions, o.Regions[o.Domain]),
		rng:               rand.New(rand.NewPCG(o.Seed, o.Seed)),
		splits:            make(map[string]*route.Split),
		routes:            make(map[string]*routeState),
		services:          make(map[fleet.ServiceName]*service),
		targets:           make(map[fleet.TargetID]*targetState),
		evacuated:         make(map[fleet.Domain]bool),
		rtts:              make(map[fleet.Region]*movingAverage),
		coordinatorOrders: make(map[coordinatorKey][]fleet.VMID),
		strongVMs:         make(map[fleet.Region][]fleet.VMID),
		jobs:              make(map[jobKey]*job),
		placements:        make(map[PlacementID]*request),
		silent:            make(map[fleet.VMID]*silentVM),
		nextPlacement:     PlacementID(o.Start),
		requests:          make(map[RequestID]*request),
		awaitingProof:     make(map[*request]bool),
		attempts:          make(map[AttemptID]*attempt),
		gateways:          make(map[fleet.Domain][]fleet.VMID),
		detourDomains:     detourDomains(o),
		forwards:          make(map[RequestID]*forwarded),
		forwardsByAttempt: make(map[AttemptID]*forwarded),
		accounts:          make(map[route.AccountName]*accountState),
		tokenRequests:     make(map[PlacementID]tokenRequest),
		tokensAt:          clock.Never,
		nextLapse:         clock.Never,
		tokenSilent:       make(map[fleet.VMID]clock.Time),
	}
}

// Step handles an event observed at now and writes its effects to out.
func (r *Reducer) Step(now clock.Time, ev Event, out *Ready) {
	r.out = out
	if r.startedAt == 0 {
		r.startedAt = now
	}
	switch ev := ev.(type) {
	case *Arrive:
		r.arrive(now, ev)
	case *ForwardRequest:
		r.forward(now, ev)
	case *CallerGone:
		r.callerGone(now, ev)
	case *GatewayAccepted:
		r.gatewayAccepted(ev.Attempt)
	case *Answered:
		r.answered(now, ev)
	case *NoticeReceived:
		r.noticeReceived(now, ev)
	case *LimitReceived:
		r.limitReceived(now, ev)
	case *Failed:
		r.failed(now, ev)
	case *Configured:
		r.applyConfig(now, ev)
	case *TargetsChanged:
		r.applyTargets(now, ev)
	case *Evacuated:
		r.applyEvacuation(now, ev)
	case *MembersChanged:
		r.setMembers(now, ev.VMs)
		r.releaseJobsOfLostVMs(now)
		r.dispatchAll(now)
	case *IncomingMessage:
		r.handleMessage(now, ev)
	case *Probed:
		r.probed(now, ev)
	case *StoreSilent:
		r.checkHealth()
	case *HealthRead:
		r.healthRead(now, ev)
	case *LinkProbed:
		r.linkProbed(now, ev)
	case *QuarantineRead:
		r.applyStoredQuarantine(now, ev)
	case *QuarantinesLost:
		r.restoreQuarantines(now, ev)
	case *BoundsChanged:
		r.opts.Bounds, r.opts.DrainTime = ev.Bounds, ev.DrainTime
	case *Behind:
		r.behindSince = ev.Since
	case *StopAccepting:
		r.stopping = true
	case *Ending:
		r.endAll(now)
	case *Tick:
	}
	r.removeLapsed(now)
	if len(r.awaitingProof) > 0 {
		r.refuseProved(now)
	}
	r.fireTimers(now)
	r.enforce(now)
	out.WakeAt = clock.Min(r.timers.next(), r.nextLapse)
	r.out = nil
}

// Ready reports whether a configuration is in force.
func (r *Reducer) Ready() bool { return r.table != nil }

// applyConfig applies a new configuration. An older one is ignored, because a
// version that was in force must not be undone.
func (r *Reducer) applyConfig(now clock.Time, ev *Configured) {
	if r.table != nil && ev.Table.Config.Version < r.table.Config.Version {
		return
	}
	r.table, r.configuredAt = ev.Table, now
	for name := range r.splits {
		delete(r.splits, name) // weights may have changed
	}
	r.dropRemovedRoutes(ev.Table.Config)
	r.dropHedgesOfRemovedRoutes()
	r.applyQuotas(now)
	r.refuseRevoked(now)
	r.dispatchAll(now)
}

// fireTimers handles all timers that are due.
func (r *Reducer) fireTimers(now clock.Time) {
	for {
		t, ok := r.timers.due(now)
		if !ok {
			return
		}
		r.handleTimer(now, t)
	}
}

func (r *Reducer) handleTimer(now clock.Time, t timer) {
	switch t.purpose {
	case dueJob:
		r.jobDue(now, t.job)
		return
	case dueQuarantine:
		r.expireQuarantine(now)
		return
	case dueForward:
		r.forwardTimedOut(t.request)
		return
	case dueTokens:
		r.tokensDue(now)
		return
	case dueBackoff:
		r.backoffDue(now, t.target)
		return
	case dueLinkProbe:
		r.linkProbeDue(now)
		return
	}
	q, ok := r.requests[t.request]
	if !ok {
		return
	}
	switch t.purpose {
	case dueAnswer:
		r.deadlinePassed(now, q)
	case dueHedge:
		r.hedge(now, q)
		r.scheduleSecondSend(now, q)
	case duePlacement:
		r.placementTimedOut(now, q, t.placement)
	case dueGateway:
		r.gatewayTimedOut(now, q, t.attempt)
	case dueSecondSend:
		r.secondSendDue(now, q)
	case dueProof:
		if r.awaitingProof[q] {
			r.refuse(now, q)
		}
	}
}

// dispatchAll places the waiting jobs of all services for which there is room.
func (r *Reducer) dispatchAll(now clock.Time) {
	for _, s := range r.servicesWith(func(s *service) bool { return s.waiting.Len() > 0 }) {
		r.dispatchWaiting(now, s)
	}
}

// servicesWith returns the services that match, in a fixed order: the same events must
// always have the same effects.
func (r *Reducer) servicesWith(match func(*service) bool) []*service {
	var list []*service
	for _, s := range r.services {
		if match(s) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

// sortedJobs returns the jobs in a fixed order.
func (r *Reducer) sortedJobs() []*job {
	list := make([]*job, 0, len(r.jobs))
	for _, j := range r.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.key.vm, b.key.vm), cmp.Compare(a.key.id, b.key.id))
	})
	return list
}

// sortedRequests returns the requests without a final answer, by ID.
func (r *Reducer) sortedRequests() []*request {
	list := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	slices.SortFunc(list, byID)
	return list
}

func byID(a, b *request) int { return cmp.Compare(a.id, b.id) }

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value float64
	known bool
}

// movingAverageWeight is the weight of a new sample in movingAverage.
const movingAverageWeight = 0.1

func (m *movingAverage) observe(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += movingAverageWeight * (v - m.value)
}

func (m *movingAverage) valueOr(fallback float64) float64 {
	if m == nil || !m.known {
		return fallback
	}
	return m.value
}

// rtt returns the round-trip time to a region in ns.
func (r *Reducer) rtt(region fleet.Region) float64 {
	if region == r.region {
		return r.rtts[region].valueOr(float64(initialLocalRTT))
	}
	return r.rtts[region].valueOr(float64(initialRemoteRTT))
}

// farthestRTT returns the longest round-trip time to another region in ns, 0 if there is
// none.
func (r *Reducer) farthestRTT() float64 {
	longest := 0.0
	for _, region := range r.opts.Regions {
		if region != r.region {
			longest = max(longest, r.rtt(region))
		}
	}
	return longest
}

// observeRTT records the time that opening a connection took, which is one round
// trip.
func (r *Reducer) observeRTT(region fleet.Region, d time.Duration) {
	m, ok := r.rtts[region]
	if !ok {
		m = new(movingAverage)
		r.rtts[region] = m
	}
	m.observe(float64(d))
}

// TargetCount returns the number of known targets.
func (r *Reducer) TargetCount() int { return len(r.targets) }
