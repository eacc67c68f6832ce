package emulate

import (
	"math"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/verdict"
)

// sendToGateway sends a request to its gateway on its connection.
func (sim *simulation) sendToGateway(s *targetSend) {
	sim.recorder.recordConnected(s)
	oneWay, g := sim.latency(s.vm.self.Domain, s.gateway.self.Domain), s.gateway
	sim.after(oneWay, func() {
		switch {
		case s.ended:
		case g.reducer == nil:
			sim.after(oneWay, func() {
				sim.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
			})
		default:
			sim.after(oneWay, func() { sim.confirmAtSender(s) })
			sim.acceptAtGateway(s)
		}
	})
}

// confirmAtSender reports to the VM of s that the gateway has the request.
func (sim *simulation) confirmAtSender(s *targetSend) {
	if !s.ended && s.vm.processNumber == s.processNumber {
		sim.step(s.vm, &ingress.GatewayAccepted{Attempt: s.id})
	}
}

// acceptAtGateway passes the request of s to its gateway.
func (sim *simulation) acceptAtGateway(s *targetSend) {
	g := s.gateway
	g.lastGatewayRequest++
	s.gatewayRequest = ingress.RequestID(math.MaxUint64) - g.lastGatewayRequest
	g.openRequests[s.gatewayRequest] = &entryAttempt{caller: s.attempt.caller, sentAt: s.attempt.sentAt, gatewaySend: s}
	sim.step(g, &ingress.ForwardRequest{Request: s.gatewayRequest, Target: s.target.registered.ID, TimeLeft: s.attempt.deadline.Sub(sim.now), Terms: s.terms})
}

// returnFromGateway returns the result of a forwarded request, and the notice or limit
// in it, to the VM of s.
func (sim *simulation) returnFromGateway(s *targetSend, end any, stated notice.Notice, limit ingress.TargetLimit) {
	s.gatewayRequest = 0 // the request has ended there
	sim.after(sim.latency(s.gateway.self.Domain, s.vm.self.Domain), func() {
		if !s.ended && s.vm.processNumber == s.processNumber {
			sim.releaseConnection(s)
		}
		sim.receiveNotice(s, stated)
		if limit.Target != "" && s.vm.processNumber == s.processNumber {
			sim.step(s.vm, &ingress.LimitReceived{Limit: limit})
		}
		switch e := end.(type) {
		case *ingress.Answered:
			e.Attempt, e.ConnectTime, e.ConnectionWait = s.id, s.connectTime, s.connectionWait
			sim.endSend(s, e)
		case *ingress.Failed:
			e.Attempt = s.id
			sim.endSend(s, e)
		}
	})
}

// failLostGateway fails a request whose gateway has ended.
func (sim *simulation) failLostGateway(s *targetSend) {
	s.gatewayRequest = 0
	sim.after(sim.latency(s.gateway.self.Domain, s.vm.self.Domain), func() {
		sim.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway})
	})
}
