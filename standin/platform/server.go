package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	api "github.com/azurethread/azurethread/serve/platform"
)

const (
	// tickInterval is the interval at which a started server checks for expired
	// leases and due machine lists.
	tickInterval = 20 * time.Millisecond
	// maxWait is the longest wait of a watch.
	maxWait = 10 * time.Minute
)

// Options configures a Server.
type Options struct {
	// Now is the clock for leases and the lag of the machine list. Nil means
	// time.Now. The waits of watches and SetDelay always use real time.
	Now func() time.Time
	// MinLeaseTTL is the shortest TTL of a lease. A shorter TTL is refused over
	// HTTP and raised to the minimum in process. Zero means api.MinLeaseTTL,
	// the minimum of the published API.
	MinLeaseTTL time.Duration
	// MachineLag is the initial lag of the machine list.
	MachineLag time.Duration
}

// Outage is the way in which an endpoint or a view fails to answer.
type Outage uint8

const (
	// Up means no outage.
	Up Outage = iota
	// Refusing closes all connections and refuses new ones.
	Refusing
	// Hanging accepts connections and requests without answering. The requests
	// are cut, without effect, when the outage ends.
	Hanging
)

// Counts holds the numbers of calls that the server has received.
type Counts struct {
	Reads   uint64 // Get, List, and Machines without a wait
	Writes  uint64 // compare-and-swap, delete, acquire, and all calls on leases
	Watches uint64 // Watch and Machines with a wait, counted at their start
	Waiting int    // watches that are waiting now
}

// Server is a stand-in for the platform. Its methods are safe for concurrent
// use.
type Server struct {
	now    func() time.Time
	minTTL time.Duration

	mu            sync.Mutex
	data          data
	changed       chan struct{} // closed and replaced at every change of data, machines or outage
	machines      fleet.List
	pending       []pendingList
	lag           time.Duration
	counts        Counts
	outage        Outage
	beforeDelay   time.Duration
	afterDelay    time.Duration
	answersToLose int
	endpoints     []*Endpoint
	stopTick      context.CancelFunc
	tickFinished  chan struct{}
}

// pendingList is a machine list that is not visible yet.
type pendingList struct {
	visible time.Time
	list    fleet.List
}

// Snapshot is a copy of the content of the service.
type Snapshot struct{ data data }

// New returns a server without endpoints. It is reachable in process through
// Store; Start opens its first endpoint.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MinLeaseTTL == 0 {
		o.MinLeaseTTL = api.MinLeaseTTL
	}
	return &Server{
		now:     o.Now,
		minTTL:  o.MinLeaseTTL,
		lag:     o.MachineLag,
		data:    newData(),
		changed: make(chan struct{}),
		// A query with version 0 doesn't wait, so no list has version 0.
		machines: fleet.List{Version: 1},
	}
}

// Start opens the first endpoint on addr, such as "127.0.0.1:0", and starts
// calling ApplyDue periodically.
func (s *Server) Start(addr string) error {
	if _, err := s.Endpoint(addr); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	s.mu.Lock()
	s.stopTick, s.tickFinished = cancel, finished
	s.mu.Unlock()
	go s.tickLoop(ctx, finished)
	return nil
}

func (s *Server) tickLoop(ctx context.Context, finished chan<- struct{}) {
	defer close(finished)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.ApplyDue()
		}
	}
}

// Addr returns the host:port of the first endpoint.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.endpoints) == 0 {
		return ""
	}
	return s.endpoints[0].Addr()
}

// Close closes all endpoints and their connections.
func (s *Server) Close() error {
	s.mu.Lock()
	endpoints := slices.Clone(s.endpoints)
	cancel, finished := s.stopTick, s.tickFinished
	s.stopTick = nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-finished
	}
	var errs []error
	for _, e := range endpoints {
		errs = append(errs, e.close())
	}
	return errors.Join(errs...)
}

// ApplyDue revokes expired leases and publishes machine lists whose lag has passed.
// A started server does this periodically.
func (s *Server) ApplyDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
}

// applyDue is ApplyDue for callers that hold s.mu.
func (s *Server) applyDue() {
	now := s.now()
	changed := s.data.expire(now)
	for len(s.pending) > 0 && !now.Before(s.pending[0].visible) {
		s.publish(s.pending[0].list)
		s.pending = s.pending[1:]
		changed = true
	}
	if changed {
		s.notifyWaiters()
	}
}

// notifyWaiters wakes up the waiting calls. The caller holds s.mu.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish makes l the visible machine list. The caller holds s.mu.
func (s *Server) publish(l fleet.List) {
	l.Version = s.machines.Version + 1
	s.machines = l
}

// SetMachines replaces the machine list. The new list becomes visible after the
// lag; the server sets its version.
func (s *Server) SetMachines(l fleet.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.VMs = slices.Clone(l.VMs)
	l.Targets = slices.Clone(l.Targets)
	s.pending = append(s.pending, pendingList{visible: s.now().Add(s.lag), list: l})
	s.applyDue()
}

// SetMachineLag sets the lag of later calls of SetMachines.
func (s *Server) SetMachineLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetOutage sets the outage of all endpoints and in-process views.
func (s *Server) SetOutage(o Outage) error {
	s.mu.Lock()
	s.outage = o
	s.notifyWaiters()
	endpoints := slices.Clone(s.endpoints)
	s.mu.Unlock()
	var errs []error
	for _, e := range endpoints {
		errs = append(errs, e.SetOutage(o))
	}
	return errors.Join(errs...)
}

// SetDelay delays every call before it takes effect and again before it is
// answered.
func (s *Server) SetDelay(before, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeDelay, s.afterDelay = before, after
}

// LoseAnswers makes the next n writes take effect without an answer.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Snapshot returns a copy of the present content.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{data: s.data.clone()}
}

// Restore replaces the content, including the latest index, by older content.
func (s *Server) Restore(p Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.data.leasesGranted
	s.data = p.data.clone()
	s.data.leasesGranted = max(s.data.leasesGranted, granted) // lease IDs are never reused
	s.notifyWaiters()
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
