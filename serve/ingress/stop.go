package ingress

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// leaveDelay is how long a leaving VM still accepts requests. Callers use the
// answer to a look-up for about that long, and a request to a VM that has ended
// costs them another connection.
const leaveDelay = 1500 * time.Millisecond

// stopMargin is the part of the stop timeout that is reserved for the exit of
// the process.
const stopMargin = 500 * time.Millisecond

// acceptDivisor: requests that come later than 1/acceptDivisor of the stop timeout, on a
// connection that is still in use, are refused as not run. A target might not finish them
// before the end.
const acceptDivisor = 2

// finalAnswerTime is how long before the end of a stop requests still in flight get
// their final answers, so that callers can take them and what is ready behind them.
const finalAnswerTime = 250 * time.Millisecond

// killMargin is the part of the stop timeout that is reserved at the least, if the signal may
// have been pending for a while.
const killMargin = 250 * time.Millisecond

// exitTime is how long after its end a stop may take to release what is left.
const exitTime = 150 * time.Millisecond

// minStopTime is the time of a stop whose signal may have been pending for longer than the
// stop timeout. That the process still runs shows that there is some time left.
const minStopTime = 2 * finalAnswerTime

// stopPlan says when the steps of a planned stop are due, counted from its beginning.
type stopPlan struct {
	close  time.Duration // no connection is accepted any more, and idle ones are closed
	refuse time.Duration // requests are refused as not run
	answer time.Duration // requests in flight get their final answers
}

// planStop plans a stop within timeout of a signal that may have been pending for some time.
func planStop(timeout, pending time.Duration) stopPlan {
	total := timeout - stopMargin
	end := max(min(total, timeout-killMargin-pending), minStopTime)
	answer := end - finalAnswerTime
	return stopPlan{
		close:  min(leaveDelay, 2*answer/3),
		refuse: max(total/acceptDivisor-pending, 0),
		answer: answer,
	}
}

// errStopTooLong means that a stop was not complete at its end.
var errStopTooLong = errors.New("ingress: not everything was stopped in time")

// Stop shuts the entry VM down. It first removes the VM from look-ups and tells
// callers to use other connections, then waits for the requests in flight. It returns
// before the stop timeout is over, from which it takes off the time for which the signal to
// stop may have been pending.
func (s *Server) Stop(pending time.Duration) error {
	plan := planStop(s.reloadable.Load().stopTimeout, pending)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tooLong := make(chan struct{})
	// One after the other, so that there is time for the final answers also if the process
	// does not run when they are due.
	answer := time.AfterFunc(plan.answer, func() {
		s.core.Post(&ingress.Ending{})
		time.Sleep(finalAnswerTime)
		cancel()
		time.Sleep(exitTime)
		close(tooLong)
	})
	defer answer.Stop()
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(ctx, plan) }()
	select {
	case err := <-stopped:
		return err
	case <-tooLong: // also what has no timeout ends
		return errStopTooLong
	}
}

func (s *Server) stop(ctx context.Context, plan stopPlan) error {
	began := time.Now()
	s.leaving.Store(true)
	for _, l := range s.listeners() {
		l.AnnounceClose()
	}
	s.event(eventStop).WithField("in_flight", s.calls.len()).WithField("answer_ms", plan.answer.Milliseconds()).Info("entry VM is stopping")
	refuse := time.AfterFunc(plan.refuse, func() { s.core.Post(&ingress.StopAccepting{}) })
	defer refuse.Stop()
	s.cancel() // keepRegistered revokes the lease
	time.Sleep(plan.close)
	s.logStopStep("callers have had time to leave", began)
	s.callerServer.StopAccepting(ctx)
	s.logStopStep("no connection is accepted", began)
	callersStopped, gatewayStopped := make(chan struct{}), make(chan error, 1)
	go func() { gatewayStopped <- s.stopGateway(ctx, callersStopped, plan.refuse-plan.close) }()
	err := s.callerServer.Stop(ctx)
	close(callersStopped)
	s.logStopStep("callers' connections are closed", began)
	err = errors.Join(err, <-gatewayStopped)
	s.logStopStep("gateway's connections are closed", began)
	err = errors.Join(err, s.stopPages(ctx))
	s.shutdown()
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.event(eventStop).WithField("after_ms", time.Since(began).Milliseconds()).Info("entry VM stopped")
	return nil
}

// stopGateway stops the server of requests that other entry VMs forward through this one.
// They learn later than callers that this VM is leaving: it stops once callers' requests have
// ended, or requests are refused.
func (s *Server) stopGateway(ctx context.Context, callersStopped <-chan struct{}, refused time.Duration) error {
	if s.gatewayServer == nil {
		return nil
	}
	select {
	case <-callersStopped:
	case <-time.After(refused):
	}
	s.gatewayServer.StopAccepting(ctx)
	return s.gatewayServer.Stop(ctx)
}

// logStopStep logs what is left after a step of a planned stop.
func (s *Server) logStopStep(step string, began time.Time) {
	s.event(eventStop).WithFields(logrus.Fields{
		"step": step, "after_ms": time.Since(began).Milliseconds(), "in_flight": s.calls.len(), "connections": s.callerServer.Connections(),
	}).Info("entry VM is stopping: a step is done")
}

// stopPages stops the servers of pages that are answered at once. Look-ups and the
// platform's checks go on until requests have ended.
func (s *Server) stopPages(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pageStopTimeout)
	defer cancel()
	var err error
	for _, l := range []*inbound.Server{s.readyServer, s.lookupServer, s.metricsServer} {
		if l != nil {
			err = errors.Join(err, l.Stop(ctx))
		}
	}
	return err
}

// listeners returns the servers of this VM.
func (s *Server) listeners() []*inbound.Server {
	all := []*inbound.Server{s.callerServer, s.gatewayServer, s.readyServer, s.lookupServer, s.metricsServer}
	return slices.DeleteFunc(all, func(l *inbound.Server) bool { return l == nil })
}

// pageStopTimeout limits the wait for callers to take their last page.
const pageStopTimeout = 300 * time.Millisecond

// shutdown closes everything. Only the first call has an effect.
func (s *Server) shutdown() { s.shutdownOnce.Do(s.releaseAll) }

func (s *Server) releaseAll() {
	s.cancel()
	s.loops.Wait()
	s.copyMu.Lock()
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.copyMu.Unlock()
	if s.peers != nil {
		flush, cancel := context.WithTimeout(context.Background(), peerFlushTimeout)
		defer cancel()
		_ = s.peers.Close(flush) // the receivers of lost messages have timeouts
	}
	if s.core != nil {
		s.core.Close()
	}
	for _, l := range s.listeners() {
		l.Close() // requests in flight have had their time
	}
	for _, p := range []*outbound.Pool{s.targetPool, s.gatewayPool} {
		if p != nil {
			p.Close()
		}
	}
}

// peerFlushTimeout limits sending the queued messages to other entry VMs at the
// end.
const peerFlushTimeout = 200 * time.Millisecond
