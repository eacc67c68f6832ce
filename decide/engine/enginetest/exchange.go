package enginetest

import (
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Fault is the fault that happens to an exchange.
type Fault uint8

// The faults of an exchange.
const (
	NoFault        Fault = iota
	Refused              // the connection is refused, nothing is sent
	LostRequest          // the connection goes silent, the request is lost
	LostAnswer           // the connection goes silent, the answer is lost
	ResetRequest         // the connection breaks, the request is lost
	ResetAnswer          // the connection breaks, the answer is lost
	CutAnswer            // the answer is truncated
	DelayedAnswer        // the answer comes much later
	DelayedRequest       // the request arrives much later
	faultCount
)

// Leg is the section of a request's path that an exchange covers.
type Leg uint8

// The legs of a request.
const (
	FromCaller Leg = iota
	ToTarget
	BetweenVMs
)

func (x *Exchange) leg() Leg {
	switch x.from.Domain {
	case "":
		return FromCaller
	case x.to.Domain:
		return ToTarget
	}
	return BetweenVMs
}

// Times of connections.
const (
	connectTimeout = 200 * time.Millisecond
	lateAnswer     = 4 * time.Second
	lateRequest    = 4 * time.Second
	// endDelay is the maximum time from a cancel to the report of its end.
	endDelay = 5 * time.Millisecond
)

// Answer is the result of an exchange as its sender sees it.
type Answer struct {
	Submission *Submission // that the answer belongs to
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Status     int // 0 for a refusal
	RetryAfter time.Duration
	Load       *Load
	NewToken   string // replaces the used token; empty if none
}

// Load is the load that a target reports.
type Load struct{ InFlight, Slots int }

// Exchange is one request on one connection.
type Exchange struct {
	w          *World
	from, to   Location
	fault      Fault
	submission *Submission
	end        func(Answer)

	ended        bool // the sender has got its result, or has crashed
	canceled     bool
	arrived      bool
	closed       bool // by the receiver, or the connection is lost
	onSenderGone func()
}

// exchange starts a request. It calls arrive when the request reaches the
// receiver, and end when the sender gets the result, which may never happen. If
// the receiver is not up, the connection is refused.
func (w *World) exchange(from, to Location, c *Submission, up func() bool, arrive func(*Exchange), end func(Answer)) *Exchange {
	x := &Exchange{w: w, from: from, to: to, submission: c, end: end}
	x.fault = w.drawFault(x)
	if x.fault == Refused || !up() {
		x.fault = Refused
		w.After(w.between(time.Millisecond, connectTimeout), func() {
			x.finish(Answer{Submission: c, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		})
		return x
	}
	d := w.delay(from, to)
	if x.fault == DelayedRequest {
		d += w.between(lateRequest/2, lateRequest)
	}
	w.After(d, func() { x.deliver(up, arrive) })
	return x
}

// drawFault draws the fault of x. If the connection between the domains is cut,
// either no connection can be opened or an existing one stays silent.
func (w *World) drawFault(x *Exchange) Fault {
	planned := w.Network.nextFault[x.leg()]
	switch {
	case planned != NoFault:
		delete(w.Network.nextFault, x.leg())
		return planned
	case w.Network.isCut(x.from, x.to):
		if w.Chance(0.5) {
			return Refused
		}
		return LostRequest
	case w.Chance(w.Network.FaultProbability):
		return Fault(1 + w.IntN(int(faultCount)-1))
	}
	return NoFault
}

func (x *Exchange) deliver(up func() bool, arrive func(*Exchange)) {
	switch {
	case x.fault == LostRequest:
	case x.fault == ResetRequest || !up():
		x.breakConnection()
	default:
		x.arrived = true
		arrive(x)
		if x.canceled {
			x.notifyReceiver()
		}
	}
}

// breakConnection ends x with the result that the connection was lost.
func (x *Exchange) breakConnection() {
	x.closed = true
	x.w.After(x.w.delay(x.to, x.from), func() {
		x.finish(Answer{Submission: x.submission, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
	})
}

// Answer sends the receiver's answer.
func (x *Exchange) Answer(a Answer) {
	if x.closed {
		return
	}
	x.closed = true
	d := x.w.delay(x.to, x.from)
	switch {
	case x.fault == LostAnswer || x.w.Network.isCut(x.to, x.from):
		return
	case x.fault == ResetAnswer:
		a = Answer{Submission: x.submission, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	case x.fault == CutAnswer && a.Status != 0:
		a = Answer{Submission: x.submission, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut}
	case x.fault == DelayedAnswer:
		d += x.w.between(0, lateAnswer)
	}
	x.w.After(d, func() { x.finish(a) })
}

// finish passes the result to the sender, once.
func (x *Exchange) finish(a Answer) {
	if x.ended {
		return
	}
	x.ended = true
	x.end(a)
}

// Cancel closes the connection on the sender's side. The sender gets the result
// within endDelay, or a complete answer that arrives before.
func (x *Exchange) Cancel(r verdict.Reason) {
	if x.ended || x.canceled {
		return
	}
	x.canceled = true
	x.w.After(x.w.between(0, endDelay), func() {
		x.finish(Answer{Submission: x.submission, Verdict: verdict.MayHaveRun, Reason: r})
	})
	x.notifyReceiver()
}

// Abandon closes the connection because the sender has crashed.
func (x *Exchange) Abandon() {
	x.ended = true
	x.canceled = true
	x.notifyReceiver()
}

// notifyReceiver lets the receiver see that the connection was closed.
func (x *Exchange) notifyReceiver() {
	if !x.arrived || x.fault == LostRequest {
		return
	}
	x.w.After(x.w.delay(x.from, x.to), func() {
		if !x.closed && x.onSenderGone != nil {
			x.onSenderGone()
		}
	})
}

// Reset closes the connection because the receiver has crashed.
func (x *Exchange) Reset() {
	if !x.closed {
		x.breakConnection()
	}
}

// inProgress reports whether the request is in transit to its receiver or is
// being processed there.
func (x *Exchange) inProgress() bool {
	return !x.closed && x.fault != Refused && x.fault != LostRequest && x.fault != ResetRequest
}
