package ingress

import (
	"container/heap"

	"github.com/azurethread/azurethread/decide/clock"
)

// purpose says what is due for a request.
type purpose uint8

const (
	dueAnswer     purpose = iota // the request must have its final answer
	dueHedge                     // it may be sent a second time
	dueAsk                       // its coordinator must have answered
	dueJob                       // the job's wait or place ends
	dueQuarantine                // a fingerprint need not be kept away any more
	dueGateway                   // the gateway must have said that it has the request
	dueCarried                   // the time of a carried request is over
)

// timer is one thing that is due for a request. Timers are not removed when
// they lose their purpose: what is due is checked when they fire.
type timer struct {
	at      clock.Time
	seq     uint64 // breaks ties, so that the order is always the same
	request RequestID
	purpose purpose
	ask     AskID     // of dueAsk
	attempt AttemptID // of dueGateway
	job     *job      // of dueJob
}

type timers struct {
	list []timer
	seq  uint64
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool {
	if t.list[i].at != t.list[j].at {
		return t.list[i].at < t.list[j].at
	}
	return t.list[i].seq < t.list[j].seq
}

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	n := len(t.list) - 1
	x := t.list[n]
	t.list = t.list[:n]
	return x
}

func (t *timers) add(x timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

// next returns when the earliest timer is due.
func (t *timers) next() clock.Time {
	if len(t.list) == 0 {
		return clock.Never
	}
	return t.list[0].at
}

// due removes and returns the earliest timer if it is due.
func (t *timers) due(now clock.Time) (timer, bool) {
	if t.next().After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
