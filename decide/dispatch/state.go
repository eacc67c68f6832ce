package dispatch

import (
	"math/rand/v2"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/target"
)

// State decides about the requests of one entry VM. It is not safe for
// concurrent use.
type State struct {
	opts   Options
	lim    Limits
	policy target.Policy
	rng    *rand.Rand

	now clock.Time // time of the current step
	out *Ready     // effects of the current step

	services        []*service // sorted by name
	byName          map[fleet.ServiceName]*service
	targets         map[fleet.TargetID]*targetState
	vms             map[fleet.VMID]*remoteVM
	vmCount         int // other entry VMs in the last load reports
	peers           Peers
	targetsReceived bool           // whether a Targets event has been received
	suspended       []*targetState // ejected or paused targets
	nextRecheck     clock.Time     // when to check the suspended targets
	stopping        bool

	requests    map[RequestID]*request
	requestPool []*request
	attempts    attempts
	cancelled   cancelledQueue
	timers      timers
	queueBounds queue.Gate

	violations uint64
}

// seedStream separates this generator's stream from others with the same seed.
const seedStream = 0x646973_7061746368

// New returns a State without services, targets and other entry VMs. It panics
// when o.Validate reports an error.
func New(o Options) *State {
	policy, err := target.ParsePolicy(o.Policy)
	if err != nil {
		panic(err)
	}
	lim := o.Limits.WithDefaults()
	return &State{
		opts:        o,
		lim:         lim,
		policy:      policy,
		rng:         rand.New(rand.NewPCG(o.Seed, seedStream)),
		byName:      make(map[fleet.ServiceName]*service),
		targets:     make(map[fleet.TargetID]*targetState),
		vms:         make(map[fleet.VMID]*remoteVM),
		peers:       Peers{Count: 1},
		nextRecheck: clock.Never,
		requests:    make(map[RequestID]*request),
		queueBounds: queue.Gate{
			MaxItems:        lim.QueueItems,
			MaxBytes:        lim.QueueBytes,
			DeferrableShare: lim.DeferrableShare,
		},
	}
}

// Step applies one event at the time now and appends its effects to out, which
// the caller has Reset. A time before that of the last step counts as that one.
func (s *State) Step(now clock.Time, ev Event, out *Ready) {
	s.now = max(now, s.now)
	s.out = out
	s.apply(ev)
	s.runTimers()
	out.WakeAt = s.nextWake()
	if s.opts.Audit {
		s.audit()
	}
	s.out = nil
}

func (s *State) apply(ev Event) {
	switch e := ev.(type) {
	case *Arrive:
		s.handleArrive(e)
	case *Answered:
		s.handleAnswered(e)
	case *Failed:
		s.handleFailed(e)
	case *CallerGone:
		s.handleCallerGone(e.Req)
	case *Tick:
	case *Stop:
		s.stopping = true
	case *Targets:
		s.setTargets(e.List)
	case *Peers:
		s.setPeers(*e)
	case *Services:
		s.setServices(e.List)
	case *RemoteLoads:
		s.setRemotes(e.List)
	case *Health:
		s.handleHealth(e)
	case *Connection:
		s.handleConnection(e)
	}
}

// nextWake returns when the next Tick is due.
func (s *State) nextWake() clock.Time {
	return min(s.timers.earliest(), s.cancelled.earliest(), s.nextRecheck)
}

// Pending returns the number of requests without a final effect. An entry VM
// that is leaving may exit when it is 0.
func (s *State) Pending() int { return len(s.requests) }

// InFlight returns the number of attempts that have not ended, including
// cancelled ones.
func (s *State) InFlight() int { return s.attempts.running() }
