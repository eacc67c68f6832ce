package tally

import (
	"cmp"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Options configures a State. A zero field takes its default.
type Options struct {
	// RoundEvery is the time between the starts of two rounds.
	RoundEvery time.Duration
	// LostAfter is how long a domain must be unreachable before its entry VMs
	// are no longer waited for. By then callers in other domains hold no
	// look-up answer that names them.
	LostAfter time.Duration
	// GroupWait, DomainWait, RegionWait and RoundWait bound the wait for the
	// answers to Asks. Each is longer than the wait of the level below it.
	GroupWait, DomainWait, RegionWait, RoundWait time.Duration
}

// The defaults of Options.
const (
	DefaultRoundEvery = 2 * time.Second
	DefaultLostAfter  = 20 * time.Second
	DefaultGroupWait  = 200 * time.Millisecond
	DefaultDomainWait = 450 * time.Millisecond
	DefaultRegionWait = 750 * time.Millisecond
	DefaultRoundWait  = 1200 * time.Millisecond
)

const (
	// groupSize is the number of entry VMs that one entry VM asks directly; a
	// larger domain is asked in groups.
	groupSize = 8
	// smallFleet is the number of domains up to which the runner asks the
	// head of each domain, without heads of regions in between.
	smallFleet = 16
	// maxJobs bounds the Asks that are answered at the same time.
	maxJobs = 8
)

func (o Options) withDefaults() Options {
	o.RoundEvery = cmp.Or(o.RoundEvery, DefaultRoundEvery)
	o.LostAfter = cmp.Or(o.LostAfter, DefaultLostAfter)
	o.GroupWait = cmp.Or(o.GroupWait, DefaultGroupWait)
	o.DomainWait = cmp.Or(o.DomainWait, DefaultDomainWait)
	o.RegionWait = cmp.Or(o.RegionWait, DefaultRegionWait)
	o.RoundWait = cmp.Or(o.RoundWait, DefaultRoundWait)
	return o
}

// State is the aggregation's state at one entry VM. It isn't safe for
// concurrent use.
type State struct {
	options Options
	self    fleet.VM
	now     clock.Time
	meter   *Meter
	local   localCounts
	domains domains
	jobs    []*job
	lead    lead
}

// New returns the state of the entry VM self.
func New(now clock.Time, self fleet.VM, o Options) *State {
	s := &State{
		options: o.withDefaults(),
		self:    self,
		now:     now,
		meter:   NewMeter(now),
		local:   localCounts{intervalEnd: clock.Never},
		lead:    lead{nextRound: clock.Never},
	}
	return s
}

// Meter returns the meter of this entry VM's services.
func (s *State) Meter() *Meter { return s.meter }

// RecordRequest counts one request for shifts; see shift.Counter.RecordRequest.
// The entry VM that received a request from its caller calls it once, at the
// final answer. It is not called for requests that another entry VM has
// forwarded.
func (s *State) RecordRequest(service fleet.ServiceName, home fleet.Region, block uint64, movedBy string, busy time.Duration) {
	if s.local.counter != nil {
		s.local.counter.RecordRequest(service, home, block, movedBy, busy)
	}
}

// Step applies one event and fills out with its effects.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	out.reset()
	s.now = max(s.now, now)
	if s.local.intervalEnd <= s.now {
		s.local.endInterval(s.now)
	}
	switch e := ev.(type) {
	case *Configured:
		changed := s.local.configure(s.now, e.Catalogue)
		s.lead.configure(e.Catalogue, changed)
	case *FleetChanged:
		if s.domains.update(s.now, s.options.LostAfter, s.self.Domain, e.Domains) {
			s.restartRounds()
		}
	case *LeaseChanged:
		s.lead.setHeld(s.now, e.Held)
	case *Measured:
		s.meter.observe(s.now, e.Samples)
	case *PeerMessage:
		s.handleMessage(e, out)
	case *Tick:
	}
	s.runDue(out)
	out.WakeAt = s.nextWake()
}

func (s *State) handleMessage(e *PeerMessage, out *Ready) {
	if e.Msg.Validate() != nil {
		return
	}
	switch m := e.Msg.(type) {
	case *Ask:
		s.handleAsk(e.From, m, out)
	case *Sum:
		s.handleSum(e.From, m, out)
	}
}

// runDue ends the jobs that are due and starts a round if one is due.
func (s *State) runDue(out *Ready) {
	s.finishJobs(out)
	if s.leadsRounds() && s.lead.nextRound <= s.now {
		s.startRound(out)
	}
}

func (s *State) nextWake() clock.Time {
	w := s.local.intervalEnd
	if s.leadsRounds() {
		w = clock.Min(w, s.lead.nextRound)
	}
	for _, j := range s.jobs {
		w = clock.Min(w, j.deadline)
	}
	return w
}
