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
	// tickInterval is how often a started server looks for leases and
	// machine-list changes that have become due.
	tickInterval = 20 * time.Millisecond
	// maxWait is the longest that a watch is held.
	maxWait = 10 * time.Minute
)

// Options configures a Server.
type Options struct {
	// Now is the clock that leases and the machine list's lag run on. Nil
	// means time.Now. A watch's wait and SetDelay are always in real time.
	Now func() time.Time
	// MinLeaseTTL is the shortest lease granted; shorter ones are refused
	// over HTTP and raised in process. Zero means the published API's,
	// api.MinLeaseTTL.
	MinLeaseTTL time.Duration
	// MachineLag is the initial lag of the machine list.
	MachineLag time.Duration
}

// Outage is a way of not answering.
type Outage uint8

const (
	// Up answers.
	Up Outage = iota
	// Refusing closes all connections and refuses new ones.
	Refusing
	// Hanging accepts connections and requests and never answers them. They
	// are cut, without effect, when the outage ends.
	Hanging
)

// Counts are the calls that the server has received, by kind.
type Counts struct {
	Reads   uint64 // Get, List, and Machines without a wait
	Writes  uint64 // compare-and-swap, delete, acquire, and every call on a lease
	Watches uint64 // Watch and Machines with a wait, counted when they begin
	Waiting int    // watches held now
}

// Server is the stand-in. All methods are safe for concurrent use.
type Server struct {
	now    func() time.Time
	minTTL time.Duration

	mu            sync.Mutex
	data          data
	changed       chan struct{} // closed and replaced at every change
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

// pendingList is a machine list that does not show yet.
type pendingList struct {
	visible time.Time
	list    fleet.List
}

// Snapshot is the content of the service at one moment.
type Snapshot struct{ data data }

// New returns a server that is reachable in process only; Start opens its
// first endpoint.
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
		// Version 0 asks for an answer at once, so no list may bear it.
		machines: fleet.List{Version: 1},
	}
}

// Start opens the first endpoint at addr, such as "127.0.0.1:0", and begins
// to tick.
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
			s.Tick()
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

// Tick puts into effect what has become due by the clock: lapsed leases and
// changes of the machine list. A started server does so by itself.
func (s *Server) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
}

// applyDue needs s.mu.
func (s *Server) applyDue() {
	now := s.now()
	moved := s.data.expire(now)
	for len(s.pending) > 0 && !now.Before(s.pending[0].visible) {
		s.publish(s.pending[0].list)
		s.pending = s.pending[1:]
		moved = true
	}
	if moved {
		s.notifyWaiters()
	}
}

// notifyWaiters needs s.mu.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish needs s.mu.
func (s *Server) publish(l fleet.List) {
	l.Version = s.machines.Version + 1
	s.machines = l
}

// SetMachines changes the machine list; the change shows after the lag. The
// server sets the version.
func (s *Server) SetMachines(l fleet.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.VMs = slices.Clone(l.VMs)
	l.Targets = slices.Clone(l.Targets)
	s.pending = append(s.pending, pendingList{visible: s.now().Add(s.lag), list: l})
	s.applyDue()
}

// SetMachineLag sets the lag of later changes to the machine list.
func (s *Server) SetMachineLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetOutage sets the outage of every endpoint and of the in-process views.
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

// SetDelay makes every call wait before it takes effect and again before it
// is answered.
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

// Snapshot returns the present content.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{data: s.data.clone()}
}

// Restore brings back older content, index included.
func (s *Server) Restore(p Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.data.leasesGranted
	s.data = p.data.clone()
	s.data.leasesGranted = max(s.data.leasesGranted, granted) // a lease's name is never given out again
	s.notifyWaiters()
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
