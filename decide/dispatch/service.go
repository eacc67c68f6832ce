package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/limit"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/retry"
	"github.com/azurethread/azurethread/decide/target"
)

// initialMeanLatency stands in for a service's mean latency before its first
// answer.
const initialMeanLatency = 50 * time.Millisecond

// service is the state of one service.
type service struct {
	name       fleet.ServiceName
	listed     bool // in the catalogue
	hadTargets bool // a Targets event has listed one of its targets
	idempotent bool
	deferrable bool
	timeout    time.Duration

	targets     []*targetState // sorted by id
	freeTargets bitset         // targets with a free slot
	capacity    int            // sum over targets of their capacity
	inFlight    int            // sends that have not ended
	queue       queue.FIFO[*request]
	remotes     []*remoteService // sorted by VM

	mean       target.Mean
	tail       target.Quantiles
	silence    silenceDetector
	budget     retry.Budget
	lastAnswer clock.Time  // by any target or entry VM
	nextIndex  int         // into targets, for RoundRobin and LeastInFlight
	freeSlots  slotAverage // average over time
}

// meanLatency returns the mean latency of a send in ns.
func (svc *service) meanLatency() float64 { return svc.mean.Value(float64(initialMeanLatency)) }

// configure applies the settings of the catalogue.
func (svc *service) configure(c catalogue.Service) {
	svc.listed = true
	svc.idempotent = c.Idempotent
	svc.deferrable = c.Priority != catalogue.Interactive
	timeout := time.Duration(c.Timeout)
	if timeout == 0 {
		timeout = catalogue.DefaultTimeout
	}
	if timeout != svc.timeout {
		svc.timeout = timeout
		svc.silence.configure(timeout)
	}
}

// targetState is the state of one target of the own failure domain.
type targetState struct {
	id            fleet.TargetID
	svc           *service
	index         int  // in svc.targets
	listed        bool // in the last Targets event
	leaving       bool // according to that list
	declaredSlots int  // according to that list
	slots         int  // in use: declaredSlots, or fewer when the target states fewer
	share         int  // this entry VM's part of slots
	inFlight      int
	capacity      int // requests that this entry VM may have in flight without borrowing

	limit          limit.Adaptive
	borrow         limit.Borrow
	mean           target.Mean
	outlier        target.Outlier
	recentAnswers  recentAnswers
	ejectedBriefly bool       // the current ejection doesn't count against the limit on ejections
	pausedUntil    clock.Time // after a refusal
	suspended      bool       // in State.suspended
	healthyAt      clock.Time // time of the last good health report
	cold           bool       // according to its last health report
	ejectedAt      clock.Time // start of the last ejection

	acceptedConnections int        // that the target accepts from all entry VMs together
	connectionShare     int        // this entry VM's part of them
	answeredAt          clock.Time // time of the last answer with any status
	openConnections     int        // according to Connection events
}

// computeCapacity returns how many requests this entry VM may have in flight at
// t without borrowing.
func (t *targetState) computeCapacity(now clock.Time, plainBalancer bool) int {
	if t.leaving || !t.listed || now < t.pausedUntil {
		return 0
	}
	state := t.outlier.State()
	switch {
	case state == target.Ejected:
		return 0
	case plainBalancer:
		return max(t.connectionShare, 1)
	case state == target.Testing:
		return min(t.share, 1)
	default:
		return min(t.limit.Limit(), t.connectionShare)
	}
}

// inFlightRatio returns how many times longer a forward is in flight here than
// its request occupies a slot there.
func (rs *remoteService) inFlightRatio() float64 {
	mean := rs.svc.meanLatency()
	return (mean + float64(rs.vm.rtt)) / mean
}

// remoteVM is the state of one other entry VM.
type remoteVM struct {
	id       fleet.VMID
	rtt      time.Duration
	inFlight int
	outlier  target.Outlier
	reported bool // in the last load reports
}

// remoteService is the state of one service at one other entry VM.
type remoteService struct {
	vm            *remoteVM
	svc           *service
	window        limit.Window
	mean          target.Mean // latency of forwards, including the round trip
	recentAnswers recentAnswers
	inFlight      int
	reported      bool // in the last load reports
}
