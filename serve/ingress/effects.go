package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/core"
)

// step returns the function that steps r and executes its effects.
func (s *Server) step(r *ingress.Reducer) core.Step {
	var out ingress.Ready // used only by the goroutine that steps
	return func(now clock.Time, ev any) clock.Time {
		out.Reset()
		r.Step(now, ev, &out)
		s.execute(&out)
		return out.WakeAt
	}
}

// execute executes effects. Cancels come before the answers that end their
// requests, because a request is removed when it ends.
func (s *Server) execute(out *ingress.Ready) {
	for _, c := range out.Cancels {
		if k := s.calls.get(c.Request); k != nil {
			s.cancelAttempt(k, c.Attempt)
		}
	}
	for _, c := range out.Recalls {
		if k := s.calls.get(c.Request); k != nil {
			s.recallAttempt(k, c.Attempt)
		}
	}
	for _, id := range out.Abandoned {
		k := s.calls.remove(id)
		if k == nil {
			continue
		}
		k.end(nil)
		k.exchange.Drop()
		if !k.forwarded {
			s.logCallerGone(k)
		}
	}
	for _, d := range out.Delivers {
		s.deliver(d)
	}
	for i := range out.Refusals {
		s.refuse(&out.Refusals[i])
	}
	for _, addr := range out.RestartedAddrs {
		s.targetPool.CloseIdle(addr, 0)
	}
	for _, id := range out.SilentGateways {
		s.handleSilentGateway(id)
	}
	for i := range out.Sends {
		s.send(&out.Sends[i])
	}
	for _, p := range out.Probes {
		s.probe(p, func(found ingress.Listening) ingress.Event {
			return &ingress.Probed{Target: p.Target, StartedAt: p.StartedAt, Listening: found}
		})
	}
	for _, p := range out.LinkProbes {
		s.probe(p, func(found ingress.Listening) ingress.Event {
			return &ingress.LinkProbed{Target: p.Target, Listening: found}
		})
	}
	for _, c := range out.HealthChecks {
		s.checkHealth(c)
	}
	for _, c := range out.LinkChanges {
		s.logLinkChange(c)
	}
	for i := range out.Quarantines {
		s.quarantineChanged(&out.Quarantines[i])
	}
	for i := range out.QuotaRefusals {
		s.logQuotaRefusal(&out.QuotaRefusals[i])
	}
	for i := range out.Messages {
		s.sendMessage(&out.Messages[i])
	}
	for _, c := range out.StateChanges {
		s.metrics.targetStateChanges.Add(c.Change, 1)
		s.logTargetState(&c)
	}
}
