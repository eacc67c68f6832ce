package enginetest

import (
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Fate is what happens to an exchange.
type Fate uint8

// The fates of an exchange.
const (
	Whole          Fate = iota
	Refused             // no connection: nothing was sent
	LostRequest         // the connection goes silent, the request is lost
	LostAnswer          // the connection goes silent, the answer is lost
	ResetRequest        // the connection breaks, the request is lost
	ResetAnswer         // the connection breaks, the answer is lost
	CutAnswer           // the answer breaks off
	DelayedAnswer       // the answer comes much later
	DelayedRequest      // the request arrives much later
	fates
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
	Claim      *Claim // that it is the answer to
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Status     int // 0 for a refusal
	RetryAfter time.Duration
	Load       *Load
	Fresh      string // token in place of a spent one
}

// Load is what a target says of its load.
type Load struct{ InFlight, Slots int }

// Exchange is one request on one connection.
type Exchange struct {
	w        *World
	from, to Place
	fate     Fate
	claim    *Claim
	end      func(Answer)

	ended    bool // the sender has its end, or wants none
	canceled bool
	arrived  bool
	closed   bool // by the receiver
	gone     func()
}

// exchange starts a request. Arrive is called when it reaches its receiver,
// end when the sender learns what came of it, unless the sender never does.
// A receiver that is not up refuses the connection.
func (w *World) exchange(from, to Place, c *Claim, up func() bool, arrive func(*Exchange), end func(Answer)) *Exchange {
	x := &Exchange{w: w, from: from, to: to, claim: c, end: end}
	x.fate = w.drawFate(x)
	if x.fate == Refused || !up() {
		x.fate = Refused
		w.After(w.between(time.Millisecond, connectTimeout), func() {
			x.finish(Answer{Claim: c, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		})
		return x
	}
	d := w.delay(from, to)
	if x.fate == DelayedRequest {
		d += w.between(lateRequest/2, lateRequest)
	}
	w.After(d, func() { x.deliver(up, arrive) })
	return x
}

// drawFate draws what happens to x. Between domains that are cut off from each
// other either no connection is had, or one from before stays silent.
func (w *World) drawFate(x *Exchange) Fate {
	planned := w.Network.next[x.leg()]
	switch {
	case planned != Whole:
		delete(w.Network.next, x.leg())
		return planned
	case w.Network.isCut(x.from, x.to):
		if w.Chance(0.5) {
			return Refused
		}
		return LostRequest
	case w.Chance(w.Network.Faulty):
		return Fate(1 + w.IntN(int(fates)-1))
	}
	return Whole
}

func (x *Exchange) deliver(up func() bool, arrive func(*Exchange)) {
	switch {
	case x.fate == LostRequest:
	case x.fate == ResetRequest || !up():
		x.broken()
	default:
		x.arrived = true
		arrive(x)
		if x.canceled {
			x.hangUp()
		}
	}
}

// broken ends x for the sender by a lost connection.
func (x *Exchange) broken() {
	x.closed = true
	x.w.After(x.w.delay(x.to, x.from), func() {
		x.finish(Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
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
	case x.fate == LostAnswer || x.w.Network.isCut(x.to, x.from):
		return
	case x.fate == ResetAnswer:
		a = Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	case x.fate == CutAnswer && a.Status != 0:
		a = Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut}
	case x.fate == DelayedAnswer:
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
		x.finish(Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: r})
	})
	x.hangUp()
}

// Abandon closes the connection of a sender that has died.
func (x *Exchange) Abandon() {
	x.ended = true
	x.canceled = true
	x.hangUp()
}

// hangUp lets the receiver see the connection close.
func (x *Exchange) hangUp() {
	if !x.arrived || x.fate == LostRequest {
		return
	}
	x.w.After(x.w.delay(x.from, x.to), func() {
		if !x.closed && x.gone != nil {
			x.gone()
		}
	})
}

// Reset closes the connection of a receiver that has died.
func (x *Exchange) Reset() {
	if !x.closed {
		x.broken()
	}
}

// held reports whether the request is on its way to its receiver, or there.
func (x *Exchange) held() bool {
	return !x.closed && x.fate != Refused && x.fate != LostRequest && x.fate != ResetRequest
}
