package dispatch

import "github.com/azurethread/azurethread/decide/clock"

// timers is a binary heap of requests, ordered by the time at which their timer
// fires.
type timers []*request

// noTimer is the heap index of a request without a timer.
const noTimer = -1

// earliest returns when the first timer fires.
func (h timers) earliest() clock.Time {
	if len(h) == 0 {
		return clock.Never
	}
	return h[0].due
}

// set sets the timer of r.
func (h *timers) set(r *request, at clock.Time) {
	r.due = at
	if r.timerIndex == noTimer {
		r.timerIndex = len(*h)
		*h = append(*h, r)
	}
	h.up(r.timerIndex)
	h.down(r.timerIndex)
}

// remove removes the timer of r, if any.
func (h *timers) remove(r *request) {
	i := r.timerIndex
	if i == noTimer {
		return
	}
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	r.timerIndex = noTimer
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h timers) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex = i
	h[j].timerIndex = j
}

func (h timers) less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].id < h[j].id
}

func (h timers) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(i, p) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h timers) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
