package dispatch

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/queue"
	"github.com/azurethread/azurethread/decide/verdict"
)

// maxCurrent is the number of attempts of a request that can be current at
// once: the first one, a hedge and a duplicate on a new connection.
const maxCurrent = 3

// request is an accepted request without a final effect.
type request struct {
	id                 RequestID
	svc                *service
	node               queue.Node[*request]
	block              uint64
	bytes              int64
	arrived            clock.Time
	deadline           clock.Time
	hops               uint8
	acceptableWait     time.Duration // of a forwarded request: how long it may wait here and still be served sooner than at the sender
	idempotent         bool          // according to the catalogue on arrival
	hedged             bool
	duplicated         bool       // sent once more on a new connection while the first attempt continues
	duplicateNotBefore clock.Time // earliest next try after no slot or budget was available

	attempts       int             // sends and forwards so far, except refused forwards
	regionRefusals int             // for lack of capacity, by entry VMs within the region
	otherRefusals  int             // for lack of capacity, by entry VMs of other regions
	joinedVerdict  verdict.Verdict // of all ended attempts; NotRun before the first end
	current        [maxCurrent]*attempt
	numCurrent     int          // number of entries used in current
	avoidTarget    *targetState // target of the last failed attempt
	avoidVM        *remoteVM    // entry VM of the last failed forward

	due        clock.Time // when its timer fires
	timerIndex int        // in State.timers, or noTimer
}

// removeCurrent removes a from the current attempts and reports whether it was
// one of them.
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

// attempt is one send or forward, from its start until its connection is free
// again. It may outlive its request, and occupies its slot until then.
type attempt struct {
	id             AttemptID
	reqID          RequestID
	req            *request // nil once the answer is no longer needed
	svc            *service
	target         *targetState   // nil for a forward
	remote         *remoteService // nil for a send
	acceptableWait time.Duration  // of a forward: how long the receiver may let it wait
	borrowed       bool
	sentAt         clock.Time
	nextCheck      clock.Time // when to check again whether the connection is silent
	tailStart      clock.Time // from when the p99 rule measures the silence
	releaseAt      clock.Time // of a cancelled attempt: when it counts as ended

	detectID      detect.ID // in svc.silence, while watched
	watched       bool
	suspected     bool // found silent, and counted as a failure of the receiver
	boundExceeded bool // exceeded the bound of the p99 rule while no other attempt was answered
	duplicated    bool // its request was sent once more because of it
}

// attempts allocates attempts and finds them by id. An id combines an index
// into the table with a generation number, so that a look-up needs no map and
// an id is never reused.
type attempts struct {
	slots []*attempt
	free  []uint32
}

const indexBits = 32

// start allocates an attempt.
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

// find returns the attempt with the given id if it belongs to the request and
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

// end frees a. Its id is not found any more.
func (t *attempts) end(a *attempt) {
	*a = attempt{id: a.id}
	t.free = append(t.free, uint32(a.id&(1<<indexBits-1)))
}

// running returns the number of attempts that have not ended.
func (t *attempts) running() int { return len(t.slots) - len(t.free) }

// cancelledQueue is a FIFO of cancelled attempts, ordered by the time at which
// they count as ended. That time is the same after each cancel, so appending
// keeps the order.
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

func (q *cancelledQueue) push(e cancelledAttempt) {
	if q.n == len(q.ring) {
		q.grow()
	}
	q.ring[(q.first+q.n)%len(q.ring)] = e
	q.n++
}

func (q *cancelledQueue) grow() {
	bigger := make([]cancelledAttempt, max(2*len(q.ring), 16))
	for i := 0; i < q.n; i++ {
		bigger[i] = q.ring[(q.first+i)%len(q.ring)]
	}
	q.ring, q.first = bigger, 0
}

func (q *cancelledQueue) earliest() clock.Time {
	if q.n == 0 {
		return clock.Never
	}
	return q.ring[q.first].releaseAt
}

func (q *cancelledQueue) pop() cancelledAttempt {
	e := q.ring[q.first]
	q.first = (q.first + 1) % len(q.ring)
	q.n--
	return e
}
