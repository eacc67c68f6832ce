package ingress

import (
	"container/heap"

	"github.com/azurethread/azurethread/decide/clock"
)

// purpose is what a timer is for.
type purpose uint8

const (
	dueAnswer     purpose = iota // the request must have its final answer
	dueHedge                     // the request may be sent a second time
	duePlacement                 // its coordinator must have answered
	dueJob                       // the job's wait or place ends
	dueQuarantine                // expired quarantines are removed
	dueGateway                   // the gateway must have acknowledged the request
	dueForward                   // the time of a forwarded request is over
	dueTokens                    // tokens of accounts are requested
	dueBackoff                   // the target's backoff ends
	dueLinkProbe                 // the links to targets are probed again
	dueSecondSend                // the answer is slow for its class
	dueProof                     // the caller has waited long enough for proof of its target's end
)

// timer is an action scheduled for a time. Timers are not removed when they become
// obsolete; their handlers check the state instead.
type timer struct {
	at        clock.Time
	seq       uint64 // breaks ties, so that the order is deterministic
	request   RequestID
	purpose   purpose
	placement PlacementID  // of duePlacement
	attempt   AttemptID    // of dueGateway
	job       *job         // of dueJob
	target    *targetState // of dueBackoff
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
