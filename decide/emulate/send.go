package emulate

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
)

// targetSend is one send of a request from a VM to a target.
type targetSend struct {
	vm             *vm
	processNumber  int // of the VM
	id             ingress.AttemptID
	attempt        *entryAttempt
	target         *target
	execution      *execution
	gateway        *vm               // that forwards it; nil if it is sent directly
	gatewayRequest ingress.RequestID // the request's ID there; 0 if it is not there
	terms          ingress.LimitTerms
	connectTimeout time.Duration
	transmit       func()        // sends it to the gateway or target on its connection
	firstUse       bool          // the VM had no recent send to the same end
	placedAt       clock.Time    // when the target was chosen
	waitStart      clock.Time    // start of the wait for a connection
	connectionWait time.Duration // for a connection
	connectTime    time.Duration // time to open the connection; 0 if it was open
	ended          bool
}

// startSend sends a request to a target, directly or through a gateway.
func (sim *simulation) startSend(v *vm, e *ingress.Send) {
	t, q := sim.targets[e.Target], v.openRequests[e.Request]
	s := &targetSend{vm: v, processNumber: v.processNumber, id: e.Attempt, attempt: q, target: t, placedAt: sim.now, terms: e.Terms, connectTimeout: e.ConnectTimeout}
	v.attempts[e.Attempt] = s
	q.sends++
	s.transmit = func() { sim.sendToTarget(s) }
	if e.Gateway != "" {
		s.gateway = sim.vmByID[e.Gateway]
		s.transmit = func() { sim.sendToGateway(s) }
	}
	sim.connect(s, e.KeepSpare)
}

// sendToTarget sends a request directly to its target on its connection.
func (sim *simulation) sendToTarget(s *targetSend) {
	v, t, q := s.vm, s.target, s.attempt
	if v.targetCut.hangs() {
		sim.loseSend(s)
		return
	}
	sim.recorder.recordConnected(s)
	sim.after(sim.latency(v.self.Domain, t.registered.Domain), func() {
		if s.ended {
			return // cancelled in transit
		}
		sim.countLate(s)
		if t.down {
			sim.after(sim.latency(v.self.Domain, t.registered.Domain), func() {
				sim.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
			})
			return
		}
		sim.recorder.countArrival(sim.now, q, t.region)
		sim.recorder.countAccount(sim.now, q)
		sim.recordFarDelay(s)
		t.limit.countArrival(sim.now, v)
		sim.recorder.notices.countArrival(sim.now, s)
		s.execution = &execution{send: s, object: q.object, targetStart: t.registered.StartedAt}
		t.handleRequest(sim, s.execution)
	})
}

// sendAnswer returns an answer of t to the sending VM.
func (sim *simulation) sendAnswer(t *target, r *execution, o ingress.Outcome) {
	s, load, limit := r.send, t.load(sim.now), t.advertisedLimit(sim.now)
	stated := t.notice(o)
	sim.recorder.notices.countAnswer(sim.now, s, stated)
	sim.after(sim.latency(t.registered.Domain, s.vm.self.Domain), func() {
		if s.vm.targetCut.hangs() {
			return
		}
		if !s.ended && s.vm.processNumber == s.processNumber {
			sim.releaseConnection(s)
			if limit.Limited {
				t.limit.markKnown(sim.now, s.vm)
			}
		}
		sim.receiveNotice(s, stated)
		sim.endSend(s, &ingress.Answered{Attempt: s.id, Outcome: o, Load: load, Limit: limit, ConnectTime: s.connectTime, ConnectionWait: s.connectionWait})
	})
}

// endSend reports the end of a send to its VM if the process still runs.
func (sim *simulation) endSend(s *targetSend, ev ingress.Event) {
	if s.ended || s.vm.processNumber != s.processNumber {
		return
	}
	s.ended = true
	delete(s.vm.attempts, s.id)
	if a, ok := ev.(*ingress.Answered); ok {
		s.attempt.answer = a
	}
	sim.step(s.vm, ev)
}

// probe reports to an entry VM whether a target is listening.
func (sim *simulation) probe(v *vm, p ingress.Probe, result func(ingress.Listening) ingress.Event) {
	t, process := sim.targets[p.Target], v.processNumber
	oneWay := sim.latency(v.self.Domain, t.registered.Domain)
	if v.targetCut != nil {
		sim.failProbe(v, p, result)
		return
	}
	sim.after(oneWay, func() {
		found := ingress.ListeningYes
		if t.down {
			found = ingress.ListeningNo
		}
		sim.after(oneWay, func() {
			if v.processNumber == process {
				sim.step(v, result(found))
			}
		})
	})
}

func (sim *simulation) cancel(v *vm, id ingress.AttemptID) {
	s := v.attempts[id]
	if s == nil {
		return
	}
	s.ended = true
	delete(v.attempts, id)
	if s.execution != nil {
		s.execution.ended = true
	}
	if s.gatewayRequest != 0 {
		sim.after(sim.latency(v.self.Domain, s.gateway.self.Domain), func() {
			sim.step(s.gateway, &ingress.CallerGone{Request: s.gatewayRequest})
		})
	}
}
