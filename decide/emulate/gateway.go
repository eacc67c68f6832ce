package emulate

import (
	"math"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
)

// sendToGateway takes a request to the gateway that carries it, on the connection
// that it has.
func (f *simulation) sendToGateway(s *targetSend) {
	f.recorder.recordConnected(s)
	way, g := f.latency(s.vm.self.Domain, s.gateway.self.Domain), s.gateway
	f.after(way, func() {
		switch {
		case s.ended:
		case g.reducer == nil:
			f.after(way, func() {
				f.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
			})
		default:
			f.after(way, func() { f.confirmAtSender(s) })
			f.acceptAtGateway(s)
		}
	})
}

// confirmAtSender tells the VM of s that its gateway has the request.
func (f *simulation) confirmAtSender(s *targetSend) {
	if !s.ended && s.vm.processNumber == s.processNumber {
		f.step(s.vm, &ingress.Received{Attempt: s.id})
	}
}

// acceptAtGateway has a gateway take the request of s.
func (f *simulation) acceptAtGateway(s *targetSend) {
	g := s.gateway
	g.lastGatewayRequest++
	s.gatewayRequest = ingress.RequestID(math.MaxUint64) - g.lastGatewayRequest
	g.openRequests[s.gatewayRequest] = &entryAttempt{caller: s.q.caller, sender: s}
	f.step(g, &ingress.Carry{Request: s.gatewayRequest, Target: s.t.registered.ID, Left: s.q.deadline.Sub(f.now)})
}

// returnFromGateway takes the end of a carried request back to the VM of s.
func (f *simulation) returnFromGateway(s *targetSend, end any) {
	s.gatewayRequest = 0 // it has ended there
	f.after(f.latency(s.gateway.self.Domain, s.vm.self.Domain), func() {
		if !s.ended && s.vm.processNumber == s.processNumber {
			f.releaseConnection(s)
		}
		switch e := end.(type) {
		case *ingress.Answered:
			e.Attempt, e.Connect, e.Waited = s.id, s.connectTime, s.connectionWait
			f.endSend(s, e)
		case *ingress.Failed:
			e.Attempt = s.id
			f.endSend(s, e)
		}
	})
}

// failLostGateway ends a request whose gateway has ended.
func (f *simulation) failLostGateway(s *targetSend) {
	s.gatewayRequest = 0
	f.after(f.latency(s.gateway.self.Domain, s.vm.self.Domain), func() {
		f.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway})
	})
}
