package target

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// restartAttempts and restartPause bound the wait for the port to be free
	// again after a crash.
	restartAttempts = 50
	restartPause    = 20 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Service fleet.ServiceName
	ID      fleet.TargetID
	// Slots is how many requests it works on at once; at least 1.
	Slots int
	// Queue is how many more it accepts before it sheds.
	Queue int
	// Connections is the limit on open connections; 0 is none.
	Connections int
	Work        Work
	Cold        Cold
	// Warm starts it warm; Restart and MakeCold make it cold all the same.
	Warm bool
	// Seed starts the generator of service times.
	Seed uint64
}

// Stats are the records of a target since New.
type Stats struct {
	Arrived           uint64 // requests that reached the target, refused ones included
	Started           uint64 // executions begun
	Completed         uint64 // executions ended with an answer
	Shed              uint64 // refused because slots and queue were taken
	ArrivedAtCapacity uint64 // arrivals that found all slots taken, shed or queued
	PeakInFlight      int    // most requests in it at once, refused ones left out

	RefusedLeaving uint64        // refused because it was leaving
	LastArrival    time.Duration // from Leave to the last refused arrival

	Cancelled     uint64 // ended because the client had gone
	Expired       uint64 // ended because the deadline had passed
	BrokenBodies  uint64 // request bodies that ended early; not run
	CutByShutdown uint64 // in it, or being answered, at Crash or Close
	CutAnswers    uint64 // cut by CutAnswers

	Connections        int    // open now
	PeakConnections    int    // most open at once
	ConnectionsRefused uint64 // beyond the limit
}

// Server is one target. All methods are safe for concurrent use.
type Server struct {
	options Options
	slots   chan struct{} // holds a token for each request at work

	mu           sync.Mutex
	timer        *workTimer
	reporter     reporter
	executions   map[string]int // by request id
	stats        Stats
	inFlight     int // accepted, neither answered nor given up
	executing    int // those of inFlight that have a slot
	answering    int // being answered
	leaveStarted time.Time
	drained      chan struct{} // closed when leaving and empty; nil before Leave
	answersToCut int
	addr         string
	http         *http.Server
	listener     *listener
}

// New returns a target that does not listen yet.
func New(o Options) *Server {
	o.Slots = max(o.Slots, 1)
	now := time.Now()
	s := &Server{
		options:    o,
		slots:      make(chan struct{}, o.Slots),
		timer:      newWorkTimer(o.Work, o.Cold, o.Seed, now),
		executions: map[string]int{},
	}
	if o.Warm {
		s.timer.makeWarm(now)
	}
	s.recordReport(now)
	return s
}

// Start listens at addr, such as "127.0.0.1:0".
func (s *Server) Start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin target: %w", err)
	}
	s.serve(l)
	return nil
}

func (s *Server) serve(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = l.Addr().String()
	s.listener = newListener(l, s.options.Connections)
	s.http = &http.Server{Handler: s.handler()}
	go s.http.Serve(s.listener) // returns at Crash and Close
}

// Addr returns host:port, also while the target is down.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Target describes the target to the machine list, without its place.
func (s *Server) Target() fleet.Target {
	return fleet.Target{
		ID:          s.options.ID,
		Service:     s.options.Service,
		Addr:        s.Addr(),
		Slots:       s.options.Slots,
		Connections: s.options.Connections,
	}
}

// Leave refuses new work from now on and lets the rest finish.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained != nil {
		return
	}
	now := time.Now()
	s.leaveStarted = now
	s.drained = make(chan struct{})
	s.recordReport(now)
	s.signalIfDrained()
}

// Drained waits until a leaving target has finished all its work. It returns
// the time since Leave.
func (s *Server) Drained(ctx context.Context) (time.Duration, error) {
	s.mu.Lock()
	idle, leftAt := s.drained, s.leaveStarted
	s.mu.Unlock()
	if idle == nil {
		return 0, errors.New("standin target: not leaving")
	}
	select {
	case <-idle:
		return time.Since(leftAt), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("standin target: drain: %w", ctx.Err())
	}
}

// signalIfDrained needs s.mu. It notices that a leaving target has become empty.
func (s *Server) signalIfDrained() {
	if s.drained == nil || s.inFlight > 0 || s.answering > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Crash closes the listener and resets all connections at once.
func (s *Server) Crash() {
	s.mu.Lock()
	h, l := s.http, s.listener
	s.http = nil
	if h != nil {
		s.stats.CutByShutdown += uint64(s.inFlight + s.answering)
		s.collectConnectionStats()
	}
	s.mu.Unlock()
	if h == nil {
		return
	}
	l.Close()
	l.reset()
	h.Close()
}

// Close stops the target. Unlike after Leave and Drained, requests in it are
// cut.
func (s *Server) Close() { s.Crash() }

// Restart opens a crashed target at its old address. It is cold, and no
// longer leaving.
func (s *Server) Restart() error {
	var err error
	for range restartAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", s.Addr()); err == nil {
			s.resetForRestart()
			s.serve(l)
			return nil
		}
		time.Sleep(restartPause)
	}
	return fmt.Errorf("standin target: restart: %w", err)
}

func (s *Server) resetForRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.drained = nil
	s.timer.makeCold(now)
	s.recordReport(now)
}

// MakeCold makes the target cold, as after the loss of its cache.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.timer.makeCold(now)
	s.recordReport(now)
}

// SilenceConnections makes n of the existing connections silent, or all if n
// is negative, and returns how many it was.
func (s *Server) SilenceConnections(n int) int {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return 0
	}
	return l.silence(n)
}

// CutAnswers cuts the next n answers half-way.
func (s *Server) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToCut = n
}

// SetReportLag makes the health and load endpoints tell what was true so long
// ago.
func (s *Server) SetReportLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.lag = d
}

// SetLoadReport changes what the load endpoint says; nil makes it truthful.
func (s *Server) SetLoadReport(f func(Load) Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.overrideLoad = f
}

// SetHealthReport changes what the health endpoint says; nil makes it
// truthful.
func (s *Server) SetHealthReport(f func(healthy bool) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.overrideHealth = f
}

// SetWork changes the service times of requests that begin from now on.
func (s *Server) SetWork(w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.work = w
}

// Executions returns how often each request ran, by request id. A request
// that began and was cut off counts: it may have had its effect.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Stats returns the records so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectConnectionStats()
	return s.stats
}

// collectConnectionStats needs s.mu. The listener's records are added when it
// closes, so that they outlive a restart.
func (s *Server) collectConnectionStats() {
	if s.listener == nil {
		return
	}
	l := s.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	s.stats.Connections = len(l.conns)
	s.stats.PeakConnections = max(s.stats.PeakConnections, l.peak)
	s.stats.ConnectionsRefused += l.refused
	l.refused = 0
}

// recordReport needs s.mu.
func (s *Server) recordReport(now time.Time) {
	s.reporter.add(report{
		at:      now,
		healthy: s.drained == nil,
		load: Load{
			InFlight: s.inFlight,
			Slots:    s.options.Slots,
			Queued:   s.inFlight - s.executing,
			Cold:     s.timer.coldness(now) > 0,
		},
	})
}
