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

// Stop shuts the entry VM down. It first removes the VM from look-ups and tells
// callers to use other connections, then waits for the requests in flight.
func (s *Server) Stop() error {
	timeout := s.reloadable.Load().stopTimeout - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.leaving.Store(true)
	for _, l := range s.listeners() {
		l.AnnounceClose()
	}
	s.event(eventStop).WithField("in_flight", s.calls.len()).Info("entry VM is stopping")
	began := time.Now()
	for _, step := range []struct {
		after time.Duration
		event ingress.Event
	}{{timeout / acceptDivisor, &ingress.StopAccepting{}}, {timeout - finalAnswerTime, &ingress.Ending{}}} {
		t := time.AfterFunc(step.after, func() { s.core.Post(step.event) })
		defer t.Stop()
	}
	s.cancel() // keepRegistered revokes the lease
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	s.logStopStep("callers have had time to leave", began)
	s.callerServer.StopAccepting()
	s.logStopStep("no connection is accepted", began)
	err := s.callerServer.Stop(ctx)
	s.logStopStep("callers' connections are closed", began)
	if s.gatewayServer != nil {
		// Other entry VMs learn later than callers that this VM is leaving.
		s.gatewayServer.StopAccepting()
		err = errors.Join(err, s.gatewayServer.Stop(ctx))
		s.logStopStep("gateway's connections are closed", began)
	}
	err = errors.Join(err, s.stopPages(ctx))
	s.shutdown()
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.event(eventStop).WithField("after_ms", time.Since(began).Milliseconds()).Info("entry VM stopped")
	return nil
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
