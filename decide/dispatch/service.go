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

// initialMeanLatency stands for a service's latency before the first answer.
const initialMeanLatency = 50 * time.Millisecond

// service is what State holds for one service.
type service struct {
	name       fleet.ServiceName
	listed     bool // in the catalogue
	hadTargets bool // a target of it has been in a list
	idempotent bool
	deferrable bool
	timeout    time.Duration

	targets     []*targetState // sorted by id
	freeTargets bitset         // targets with a free slot
	capacity    int            // sum of granted
	inFlight    int            // sends that have not ended
	queue       queue.FIFO[*request]
	remotes     []*remoteService // sorted by VM

	mean       target.Mean
	tail       target.Quantiles
	silence    silenceDetector
	budget     retry.Budget
	lastAnswer clock.Time  // of any target or entry VM
	nextIndex  int         // of RoundRobin
	freeSlots  slotAverage // free slots over time
}

// meanLatency returns the expected latency of a send in ns.
func (v *service) meanLatency() float64 { return v.mean.Value(float64(initialMeanLatency)) }

// configure takes over what the catalogue says.
func (v *service) configure(c catalogue.Service) {
	v.listed = true
	v.idempotent = c.Idempotent
	v.deferrable = c.Priority != catalogue.Interactive
	timeout := time.Duration(c.Timeout)
	if timeout == 0 {
		timeout = catalogue.DefaultTimeout
	}
	if timeout != v.timeout {
		v.timeout = timeout
		v.silence.configure(timeout)
	}
}

// targetState is what State holds for one target of the own failure domain.
type targetState struct {
	id            fleet.TargetID
	svc           *service
	index         int  // in svc.targets
	listed        bool // in the last Targets event
	leaving       bool // as the list says
	declaredSlots int  // slots as the list says
	slots         int  // slots in force: declared, or fewer when the target says so
	share         int  // slots of this entry VM
	inFlight      int
	capacity      int // requests this entry VM may have in flight without borrowing

	limit          limit.Adaptive
	borrow         limit.Borrow
	mean           target.Mean
	outlier        target.Outlier
	recentAnswers  recentAnswers
	ejectedBriefly bool       // the present ejection doesn't count against the bound
	pausedUntil    clock.Time // after a refusal
	suspended      bool       // in State.suspended
	healthyAt      clock.Time // when it last said that it is well
	cold           bool       // as last said
	ejectedAt      clock.Time // start of the last ejection

	acceptedConnections int        // connections the target accepts from all entry VMs
	connectionShare     int        // this entry VM's part of them
	answeredAt          clock.Time // of the last answer with any status
	openConnections     int        // as reported by Connection events
}

// computeCapacity computes granted.
func (t *targetState) computeCapacity(now clock.Time, ungated bool) int {
	if t.leaving || !t.listed || now < t.pausedUntil {
		return 0
	}
	standing := t.outlier.Standing()
	switch {
	case standing == target.Ejected:
		return 0
	case ungated:
		return max(t.connectionShare, 1)
	case standing == target.Testing:
		return min(t.share, 1)
	default:
		return min(t.limit.Limit(), t.connectionShare)
	}
}

// inFlightRatio is how much longer a forward is in flight here than its work takes
// a slot there.
func (l *remoteService) inFlightRatio() float64 {
	usual := l.svc.meanLatency()
	return (usual + float64(l.vm.rtt)) / usual
}

// remoteVM is what State holds for one other entry VM.
type remoteVM struct {
	id       fleet.VMID
	rtt      time.Duration
	inFlight int
	outlier  target.Outlier
	reported bool // in the Remotes event at hand
}

// remoteService is one service at one other entry VM.
type remoteService struct {
	vm            *remoteVM
	svc           *service
	window        limit.Window
	mean          target.Mean // latency of forwards, round trip included
	recentAnswers recentAnswers
	inFlight      int
	reported      bool
}
