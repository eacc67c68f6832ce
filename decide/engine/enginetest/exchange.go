package enginetest

import (
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// fate is what happens to an exchange.
type fate uint8

const (
	whole         fate = iota
	refused            // no connection: nothing was sent
	lostRequest        // the connection goes silent, the request is lost
	lostAnswer         // the connection goes silent, the answer is lost
	resetRequest       // the connection breaks, the request is lost
	resetAnswer        // the connection breaks, the answer is lost
	cutAnswer          // the answer breaks off
	delayedAnswer      // the answer comes much later
	fates
)

// Times of connections.
const (
	connectTimeout = 200 * time.Millisecond
	lateAnswer     = 4 * time.Second
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
	fate     fate
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
	if x.fate == refused || !up() {
		x.fate = refused
		w.After(w.between(time.Millisecond, connectTimeout), func() {
			x.finish(Answer{Claim: c, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
		})
		return x
	}
	w.After(w.delay(from, to), func() { x.deliver(up, arrive) })
	return x
}

// drawFate draws what happens to x. Between domains that are cut off from each
// other either no connection is had, or one from before stays silent.
func (w *World) drawFate(x *Exchange) fate {
	switch {
	case w.Network.isCut(x.from, x.to):
		if w.Chance(0.5) {
			return refused
		}
		return lostRequest
	case w.Chance(w.Network.Faulty):
		return fate(1 + w.IntN(int(fates)-1))
	}
	return whole
}

func (x *Exchange) deliver(up func() bool, arrive func(*Exchange)) {
	switch {
	case x.fate == lostRequest:
	case x.fate == resetRequest || !up():
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
	case x.fate == lostAnswer || x.w.Network.isCut(x.to, x.from):
		return
	case x.fate == resetAnswer:
		a = Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	case x.fate == cutAnswer && a.Status != 0:
		a = Answer{Claim: x.claim, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut}
	case x.fate == delayedAnswer:
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
	if !x.arrived || x.fate == lostRequest {
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
	return !x.closed && x.fate != refused && x.fate != lostRequest && x.fate != resetRequest
}
