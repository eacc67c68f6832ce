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
	"github.com/azurethread/azurethread/standin/unsolicited"
)

const (
	// restartAttempts and restartPause bound the wait until the port is free
	// again after a crash.
	restartAttempts = 50
	restartPause    = 20 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Service fleet.ServiceName
	ID      fleet.TargetID
	// Slots is the number of requests that execute at once, at least 1.
	Slots int
	// Queue is the number of accepted requests that may wait for a slot.
	Queue int
	// Connections limits the open connections; 0 means no limit.
	Connections int
	Work        Work
	Cold        Cold
	// Warm skips the cold start of a new target; Restart and MakeCold still
	// begin one.
	Warm bool
	// Seed seeds the random service times.
	Seed uint64
}

// Stats holds the counts of a target since New.
type Stats struct {
	Arrived           uint64 // requests received, including refused ones
	Started           uint64 // executions started
	Completed         uint64 // executions that ended with an answer
	Shed              uint64 // refused because the slots and the queue were full
	ArrivedAtCapacity uint64 // arrived while all slots were in use; queued or refused
	PeakInFlight      int    // most accepted requests at once

	RefusedLeaving        uint64        // refused because the target was leaving
	LastArrivalAfterLeave time.Duration // time from Leave to the last request refused for it

	Cancelled       uint64 // ended because the client disconnected
	Expired         uint64 // ended because the deadline passed
	BrokenBodies    uint64 // not run because the request body ended early
	CutByShutdown   uint64 // accepted or being answered at Crash or Close
	CutAnswers      uint64 // answers cut by CutAnswers
	RepeatedAnswers uint64 // answers sent a second time because of RepeatAnswers
	Unsolicited     uint64 // times that something was sent because of SendUnsolicited

	Connections        int    // open now
	PeakConnections    int    // most open at once
	ConnectionsRefused uint64 // closed because of the limit
}

// Server is one target. Its methods are safe for concurrent use.
type Server struct {
	options Options
	slots   chan struct{} // holds one element for each executing request

	mu           sync.Mutex
	timer        *workTimer
	reporter     reporter
	executions   map[string]int // by request ID
	stats        Stats
	inFlight     int // accepted and not released
	executing    int // requests of inFlight that have a slot
	answering    int // answers being written
	leaveStarted time.Time
	drained      chan struct{} // nil before Leave; closed when no request is left
	answersToCut int
	repeats      bool // see RepeatAnswers
	unsolicited  func() (unsolicited.Place, []byte)
	addr         string
	http         *http.Server
	listener     *listener
}

// New returns a target; Start makes it listen.
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

// Start listens on addr, such as "127.0.0.1:0".
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
	s.http = &http.Server{Handler: s.handler(), ConnContext: withConn}
	go s.http.Serve(s.listener) // returns after Crash or Close
}

// Addr returns the target's host:port, also after a crash.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Target returns the target's entry for the machine list, without region,
// domain and site.
func (s *Server) Target() fleet.Target {
	return fleet.Target{
		ID:          s.options.ID,
		Service:     s.options.Service,
		Addr:        s.Addr(),
		Slots:       s.options.Slots,
		Connections: s.options.Connections,
	}
}

// Leave makes the target refuse new requests and finish the accepted ones.
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

// WaitDrained waits until a leaving target has finished all accepted requests. It
// returns the time since Leave.
func (s *Server) WaitDrained(ctx context.Context) (time.Duration, error) {
	s.mu.Lock()
	drained, leaveStarted := s.drained, s.leaveStarted
	s.mu.Unlock()
	if drained == nil {
		return 0, errors.New("standin target: wait for drain: target is not leaving")
	}
	select {
	case <-drained:
		return time.Since(leaveStarted), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("standin target: wait for drain: %w", ctx.Err())
	}
}

// signalIfDrained closes s.drained when a leaving target has no requests left.
// The caller holds s.mu.
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

// Crash closes the listener and resets all connections immediately.
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

// Close stops the target and cuts the requests in flight. Call Leave and
// WaitDrained first to let them finish.
func (s *Server) Close() { s.Crash() }

// Restart makes a crashed target listen on its old address again. It begins a
// cold start and is no longer leaving.
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

// MakeCold begins a cold start, as after the loss of a cache.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.timer.makeCold(now)
	s.recordReport(now)
}

// SilenceConnections makes n of the existing connections silent, or all if n
// is negative, and returns the number of connections it made silent.
func (s *Server) SilenceConnections(n int) int {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return 0
	}
	return l.silence(n)
}

// CutAnswers makes the next n answers end half-way.
func (s *Server) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToCut = n
}

// RepeatAnswers sets whether answers come a second time, where the answer to the next request
// on their connection is due.
func (s *Server) RepeatAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats = on
}

// SendUnsolicited sets a function whose result is sent around the answer to each request; nil
// ends that. Several goroutines may call it.
func (s *Server) SendUnsolicited(f func() (unsolicited.Place, []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsolicited = f
}

// SetReportLag delays the health and load reports by d.
func (s *Server) SetReportLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.lag = d
}

// SetLoadReport sets a function that replaces the reported load; nil restores
// true reports.
func (s *Server) SetLoadReport(f func(Load) Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.overrideLoad = f
}

// SetHealthReport sets a function that replaces the reported health; nil
// restores true reports.
func (s *Server) SetHealthReport(f func(healthy bool) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporter.overrideHealth = f
}

// SetWork changes the service times of requests that start after the call.
func (s *Server) SetWork(w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.work = w
}

// Executions returns the number of executions by request ID. An execution that
// was cut counts, because it may have taken effect.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectConnectionStats()
	return s.stats
}

// collectConnectionStats adds the listener's counts to s.stats. It also runs
// before the listener closes, so that a restart doesn't lose them. The caller
// holds s.mu.
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

// recordReport adds the present health and load to the reports. The caller
// holds s.mu.
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
