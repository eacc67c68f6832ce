package enginetest

import (
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Fault is what happens to an exchange.
type Fault uint8

// The fates of an exchange.
const (
	NoFault        Fault = iota
	Refused              // no connection: nothing was sent
	LostRequest          // the connection goes silent, the request is lost
	LostAnswer           // the connection goes silent, the answer is lost
	ResetRequest         // the connection breaks, the request is lost
	ResetAnswer          // the connection breaks, the answer is lost
	CutAnswer            // the answer breaks off
	DelayedAnswer        // the answer comes much later
	DelayedRequest       // the request arrives much later
	faultCount
)

// Leg is the part of its way that a request makes by an exchange.
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
	// endDelay bounds the time from a cancel to the report of its end.
	endDelay = 5 * time.Millisecond
)

// Answer is what the receiver of a request says.
type Answer struct {
	Submission *Submission // that it is the answer to
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Status     int // 0 for a refusal
	RetryAfter time.Duration
	Load       *Load
	NewToken   string // token in place of a spent one
}

// Load is what a target says of its load.
type Load struct{ InFlight, Slots int }

// Exchange is one request on one connection.
type Exchange struct {
	w          *World
	from, to   Location
	fault      Fault
	submission *Submission
	end        func(Answer)

	ended        bool // the sender has its end, or wants none
	canceled     bool
	arrived      bool
	closed       bool // by the receiver
	onSenderGone func()
}

// exchange starts a request. Arrive is called when it reaches its receiver,
// end when the sender learns what came of it, unless the sender never does.
// A receiver that is not up refuses the connection.
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

// drawFault draws what happens to x. Between domains that are cut off from each
// other either no connection is had, or one from before stays silent.
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

// breakConnection ends x for the sender by a lost connection.
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

// finish tells the sender its end, once.
func (x *Exchange) finish(a Answer) {
	if x.ended {
		return
	}
	x.ended = true
	x.end(a)
}

// Cancel closes the connection on the sender's side. Its end is reported soon
// afterwards, or a whole answer that comes first.
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

// Abandon closes the connection of a sender that has died.
func (x *Exchange) Abandon() {
	x.ended = true
	x.canceled = true
	x.notifyReceiver()
}

// notifyReceiver lets the receiver see the connection close.
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

// Reset closes the connection of a receiver that has died.
func (x *Exchange) Reset() {
	if !x.closed {
		x.breakConnection()
	}
}

// inProgress reports whether the request is on its way to its receiver, or there.
func (x *Exchange) inProgress() bool {
	return !x.closed && x.fault != Refused && x.fault != LostRequest && x.fault != ResetRequest
}
