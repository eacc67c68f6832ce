package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/standin/payload"
	"github.com/azurethread/azurethread/standin/unsolicited"
)

// maxAnswerSize is the largest answer that a request may ask for, in bytes.
const maxAnswerSize = 64 << 20

func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", s.healthz)
	m.HandleFunc("GET /loadz", s.loadz)
	m.HandleFunc("/", s.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(payload.AttemptHeader); id != "" {
			w.Header().Set(payload.AttemptHeader, id)
		}
		m.ServeHTTP(w, r)
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	_, healthy := s.reporter.current(time.Now())
	s.mu.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) loadz(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load, _ := s.reporter.current(time.Now())
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load) // fails only if the client has disconnected
}

// refuse answers that the request was not run.
func (s *Server) refuse(w http.ResponseWriter) {
	s.setLoadHeader(w.Header())
	w.Header().Set(payload.RefusedHeader, payload.RefusedNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setLoadHeader sets the load header to the load that /loadz reports, including
// its lag and overrides.
func (s *Server) setLoadHeader(h http.Header) {
	s.mu.Lock()
	load, _ := s.reporter.current(time.Now())
	s.mu.Unlock()
	h.Set(payload.LoadHeader, fmt.Sprintf("%d/%d", load.InFlight, load.Slots))
}

// handleRequest executes and answers one request.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.sendUnsolicited(unsolicited.Received(r))
	if !s.admit() {
		s.refuse(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	hash := payload.NewHash()
	if _, err := io.Copy(hash, r.Body); err != nil {
		s.releaseRequest(false, func(st *Stats) { st.BrokenBodies++ })
		http.Error(w, "request body ends early", http.StatusBadRequest)
		return
	}
	if !s.takeSlot(ctx) {
		s.releaseRequest(false, s.countEnd(ctx))
		s.refuse(w)
		return
	}
	if !s.execute(ctx, r.Header.Get(payload.IDHeader)) {
		s.releaseRequest(true, s.countEnd(ctx))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.answer(w, r, hash.String())
}

// sendUnsolicited sends bytes that no request caused around the next answer on c, if
// RepeatAnswers or SendUnsolicited ask for it.
func (s *Server) sendUnsolicited(c *unsolicited.Conn) {
	s.mu.Lock()
	repeats, draw := s.repeats, s.unsolicited
	s.mu.Unlock()
	if repeats && c.RepeatAsNext() {
		s.count(func(st *Stats) { st.RepeatedAnswers++ })
	}
	if draw != nil {
		at, b := draw()
		c.SendAt(at, b, func() { s.count(func(st *Stats) { st.Unsolicited++ }) })
	}
}

func (s *Server) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// withDeadline applies the request's deadline header, if there is one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(payload.DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// countEnd returns a function that counts the cause of ctx's end. Crash counts
// the requests that it cuts itself.
func (s *Server) countEnd(ctx context.Context) func(*Stats) {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return func(st *Stats) {
		switch {
		case expired:
			st.Expired++
		case s.http != nil:
			st.Cancelled++
		}
	}
}

// admit counts a request and reports whether the target accepts it.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Arrived++
	if s.drained != nil {
		s.stats.RefusedLeaving++
		s.stats.LastArrivalAfterLeave = time.Since(s.leaveStarted)
		return false
	}
	if s.inFlight >= s.options.Slots {
		s.stats.ArrivedAtCapacity++
	}
	if s.inFlight >= s.options.Slots+s.options.Queue {
		s.stats.Shed++
		return false
	}
	s.inFlight++
	s.stats.PeakInFlight = max(s.stats.PeakInFlight, s.inFlight)
	s.recordReport(time.Now())
	return true
}

// takeSlot waits for a slot. It reports false if ctx ends first.
func (s *Server) takeSlot(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil { // select may choose the slot when both cases are ready
		<-s.slots
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executing++
	s.recordReport(time.Now())
	return true
}

// execute runs the request for its service time. It reports false if ctx ends
// first.
func (s *Server) execute(ctx context.Context, id string) bool {
	s.mu.Lock()
	s.stats.Started++
	if id != "" {
		s.executions[id]++
	}
	d := s.timer.next(time.Now())
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseRequest ends an accepted request and frees its slot if it has one.
func (s *Server) releaseRequest(slot bool, count func(*Stats)) {
	if slot {
		<-s.slots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if slot {
		s.executing--
	}
	count(&s.stats)
	s.recordReport(time.Now())
	s.signalIfDrained()
}

// answer frees the slot and then answers. The sender may send its next request
// as soon as it has the answer; if the slot were freed later, that request
// could be refused although the target has capacity.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, hash string) {
	s.beginAnswer()
	defer s.endAnswer()
	id := r.Header.Get(payload.IDHeader)
	n, err := strconv.Atoi(r.Header.Get(payload.SizeHeader))
	if err != nil || n < 0 || n > maxAnswerSize {
		n = payload.DefaultSize
	}
	h := w.Header()
	s.setLoadHeader(h)
	h.Set(payload.IDHeader, id)
	h.Set(payload.HashHeader, hash)
	h.Set(payload.TargetHeader, string(s.options.ID))
	h.Set("Content-Type", "application/octet-stream")
	if r.Header.Get(payload.ChunkedHeader) == "" {
		h.Set("Content-Length", strconv.Itoa(n))
	}
	if s.takeAnswerCut() {
		_ = payload.Write(w, id, n/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection
	}
	// Fails only if the client has disconnected.
	_ = payload.Write(w, id, n)
}

func (s *Server) beginAnswer() {
	s.mu.Lock()
	s.answering++ // before the release, or a leaving target would count as drained
	s.mu.Unlock()
	s.releaseRequest(true, func(st *Stats) { st.Completed++ })
}

func (s *Server) endAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answering--
	s.signalIfDrained()
}

// takeAnswerCut reports whether to cut the answer, and counts it if so.
func (s *Server) takeAnswerCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToCut <= 0 {
		return false
	}
	s.answersToCut--
	s.stats.CutAnswers++
	return true
}
