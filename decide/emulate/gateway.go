package emulate

import (
	"math"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
)

// toGateway takes a request to the gateway that carries it, on the connection
// that it has.
func (f *fleetRun) toGateway(s *send) {
	f.books.noteConnected(s)
	way, g := f.way(s.vm.self.Domain, s.gate.self.Domain), s.gate
	f.after(way, func() {
		switch {
		case s.ended:
		case g.r == nil:
			f.after(way, func() {
				f.end(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
			})
		default:
			f.after(way, func() { f.received(s) })
			f.carried(s)
		}
	})
}

// received tells the VM of s that its gateway has the request.
func (f *fleetRun) received(s *send) {
	if !s.ended && s.vm.starts == s.starts {
		f.step(s.vm, &ingress.Received{Attempt: s.id})
	}
}

// carried has a gateway take the request of s.
func (f *fleetRun) carried(s *send) {
	g := s.gate
	g.carried++
	s.gateID = ingress.RequestID(math.MaxUint64) - g.carried
	g.open[s.gateID] = &try{caller: s.q.caller, sender: s}
	f.step(g, &ingress.Carry{Request: s.gateID, Target: s.t.reg.ID, Left: s.q.due.Sub(f.now)})
}

// fromGateway takes the end of a carried request back to the VM of s.
func (f *fleetRun) fromGateway(s *send, end any) {
	s.gateID = 0 // it has ended there
	f.after(f.way(s.gate.self.Domain, s.vm.self.Domain), func() {
		if !s.ended && s.vm.starts == s.starts {
			f.freed(s)
		}
		switch e := end.(type) {
		case *ingress.Answered:
			e.Attempt, e.Connect, e.Waited = s.id, s.opened, s.waited
			f.end(s, e)
		case *ingress.Failed:
			e.Attempt = s.id
			f.end(s, e)
		}
	})
}

// gatewayLost ends a request whose gateway has ended.
func (f *fleetRun) gatewayLost(s *send) {
	s.gateID = 0
	f.after(f.way(s.gate.self.Domain, s.vm.self.Domain), func() {
		f.end(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway})
	})
}
