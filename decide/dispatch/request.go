package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/verdict"
)

// maxCurrent is how many attempts of a request can be current at once: the
// first one, a hedge and a second one on a new connection.
const maxCurrent = 3

// request is one accepted request until its final effect.
type request struct {
	id                 RequestID
	svc                *service
	node               queue.Node[*request]
	block              uint64
	bytes              int64
	arrived            clock.Time
	deadline           clock.Time
	hops               uint8
	acceptableWait     time.Duration // of a forwarded request: the wait that its sender thinks worth while
	idempotent         bool          // as the catalogue said on arrival
	hedged             bool
	duplicated         bool       // sent once more on a new connection, without a cancel
	duplicateNotBefore clock.Time // when to try that again after it wasn't possible

	attempts       int             // sends and forwards so far, without refused forwards
	regionRefusals int             // by entry VMs of the region, for lack of capacity
	otherRefusals  int             // by others
	joinedVerdict  verdict.Verdict // of all ended attempts; NotRun before any
	current        [maxCurrent]*attempt
	numCurrent     int          // used part of current
	avoidTarget    *targetState // target of the last failed attempt
	avoidVM        *remoteVM    // entry VM of the last failed forward

	due        clock.Time
	timerIndex int // index in timers, or notTimed
}

// removeCurrent takes a out of the current attempts and reports whether it was one.
func (r *request) removeCurrent(a *attempt) bool {
	for i := 0; i < r.numCurrent; i++ {
		if r.current[i] != a {
			continue
		}
		r.numCurrent--
		r.current[i] = r.current[r.numCurrent]
		r.current[r.numCurrent] = nil
		return true
	}
	return false
}

// attempt is one send or forward from its start until its connection is free
// again. It may outlive its request: the slot it takes is used until then.
type attempt struct {
	id             AttemptID
	reqID          RequestID
	req            *request // nil once its answer is no longer wanted
	svc            *service
	target         *targetState   // nil for a forward
	remote         *remoteService // nil for a send
	acceptableWait time.Duration  // of a forward: the wait that the receiver was told is worth while
	borrowed       bool
	sentAt         clock.Time
	nextCheck      clock.Time // when to look next whether the connection is silent
	tailStart      clock.Time // from when the tail rule counts
	releaseAt      clock.Time // of a cancelled attempt: when it counts as ended

	detectID      detect.ID // its number in svc.silence, while watched
	watched       bool
	suspected     bool // suspected, and counted against the receiver
	boundExceeded bool // was over the bound of the tail rule, with nobody answered
	duplicated    bool // its request was sent once more because of it
}

// attempts gives out attempt ids and finds attempts by them. An id is an index
// into the table with a generation above it, so that finding one needs no map
// and an id is never given out twice.
type attempts struct {
	slots []*attempt
	free  []uint32
}

const indexBits = 32

// start returns a new attempt.
func (t *attempts) start() *attempt {
	if len(t.free) == 0 {
		i := uint32(len(t.slots))
		t.slots = append(t.slots, &attempt{id: AttemptID(i)})
		t.free = append(t.free, i)
	}
	i := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	a := t.slots[i]
	a.id += 1 << indexBits
	return a
}

// find returns the attempt of the given id if it belongs to the request and
// hasn't ended, else nil.
func (t *attempts) find(id AttemptID, req RequestID) *attempt {
	i := id & (1<<indexBits - 1)
	if i >= AttemptID(len(t.slots)) {
		return nil
	}
	a := t.slots[i]
	if a.id != id || a.reqID != req || a.svc == nil {
		return nil
	}
	return a
}

// end frees a; its id is never found again.
func (t *attempts) end(a *attempt) {
	*a = attempt{id: a.id}
	t.free = append(t.free, uint32(a.id&(1<<indexBits-1)))
}

// running returns how many attempts have not ended.
func (t *attempts) running() int { return len(t.slots) - len(t.free) }

// cancelledQueue is the queue of cancelled attempts by the instant they count as
// ended. All wait for the same time, so it is in order by itself.
type cancelledQueue struct {
	ring  []cancelledAttempt
	first int
	n     int
}

type cancelledAttempt struct {
	attempt   AttemptID
	req       RequestID
	releaseAt clock.Time
}

func (l *cancelledQueue) push(e cancelledAttempt) {
	if l.n == len(l.ring) {
		l.grow()
	}
	l.ring[(l.first+l.n)%len(l.ring)] = e
	l.n++
}

func (l *cancelledQueue) grow() {
	bigger := make([]cancelledAttempt, max(2*len(l.ring), 16))
	for i := 0; i < l.n; i++ {
		bigger[i] = l.ring[(l.first+i)%len(l.ring)]
	}
	l.ring, l.first = bigger, 0
}

func (l *cancelledQueue) earliest() clock.Time {
	if l.n == 0 {
		return clock.Never
	}
	return l.ring[l.first].releaseAt
}

func (l *cancelledQueue) pop() cancelledAttempt {
	e := l.ring[l.first]
	l.first = (l.first + 1) % len(l.ring)
	l.n--
	return e
}
