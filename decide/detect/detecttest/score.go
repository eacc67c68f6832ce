package detecttest

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

// Result holds the measurements of a detector on one or more traces.
type Result struct {
	Detections        []time.Duration // from the stop, or the first request after it, to the suspicion
	Undetected        int             // stopped members that owed an answer and were not suspected by the end
	LongestUndetected time.Duration   // longest time for which one of them had owed an answer
	FalseSuspicions   int             // suspicions refuted by a later sign of life
	Sent              int             // requests sent, or heartbeats received
	Length            time.Duration   // of the traces
}

// Add adds the result of another trace.
func (r *Result) Add(o Result) {
	r.Detections = append(r.Detections, o.Detections...)
	r.Undetected += o.Undetected
	r.LongestUndetected = max(r.LongestUndetected, o.LongestUndetected)
	r.FalseSuspicions += o.FalseSuspicions
	r.Sent += o.Sent
	r.Length += o.Length
}

// Quantile returns the q-quantile of the detection times, or -1 without any.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Detections) == 0 {
		return -1
	}
	slices.Sort(r.Detections)
	return r.Detections[min(len(r.Detections)-1, int(q*float64(len(r.Detections))))]
}

// FalsePerHour returns the number of false suspicions per hour of trace.
func (r *Result) FalsePerHour() float64 { return float64(r.FalseSuspicions) / r.Length.Hours() }

// FalsePerThousand returns the number of false suspicions per thousand requests.
func (r *Result) FalsePerThousand() float64 {
	return 1000 * float64(r.FalseSuspicions) / float64(r.Sent)
}

type memberState struct {
	owed      int
	suspected bool
	stopped   bool
	replaced  bool
	owedSince clock.Time // since when a stopped member has owed an answer
	checkAt   clock.Time // when to call Suspect next
}

type scorer struct {
	detector detect.Detector
	members  []memberState
	owing    []detect.ID // members that owe an answer
	result   Result
}

// Score replays a trace. A stopped member is forgotten once it is suspected, as
// a user of the detector would replace it. A member is checked only at the
// instants that Due returns, as a user would set its timers.
func Score(d detect.Detector, t Trace) Result {
	s := scorer{detector: d, result: Result{Length: t.Duration()}}
	for _, e := range t.Events {
		s.runTimers(e.At)
		s.apply(e)
	}
	s.countUndetected(t.Events[len(t.Events)-1].At)
	return s.result
}

// countUndetected counts the stopped members that were not suspected by the end
// of the trace.
func (s *scorer) countUndetected(end clock.Time) {
	for _, m := range s.members {
		if m.stopped && m.owed > 0 && !m.replaced {
			s.result.Undetected++
			s.result.LongestUndetected = max(s.result.LongestUndetected, end.Sub(m.owedSince))
		}
	}
}

func (s *scorer) apply(e Event) {
	for int(e.ID) >= len(s.members) {
		s.members = append(s.members, memberState{})
	}
	m := &s.members[e.ID]
	if m.replaced {
		return
	}
	defer s.scheduleCheck(e.At, e.ID)
	switch e.Kind {
	case Sent:
		s.detector.Sent(e.At, e.ID)
		if m.owed == 0 {
			m.owedSince = max(m.owedSince, e.At)
			s.owing = append(s.owing, e.ID)
		}
		m.owed++
		s.result.Sent++
	case Heard:
		s.countIfRefuted(m)
		s.detector.Heard(e.At, e.ID)
		s.result.Sent++
	case Done:
		s.countIfRefuted(m)
		s.detector.Done(e.At, e.ID)
		m.owed--
		if m.owed == 0 {
			s.removeOwing(e.ID)
		}
	case Stop:
		m.stopped = true
		m.owedSince = e.At
	}
}

func (s *scorer) countIfRefuted(m *memberState) {
	if m.suspected {
		s.result.FalseSuspicions++
	}
	m.suspected = false
}

func (s *scorer) removeOwing(id detect.ID) {
	s.owing = slices.DeleteFunc(s.owing, func(o detect.ID) bool { return o == id })
}

// scheduleCheck sets the timer of a member after an event of it.
func (s *scorer) scheduleCheck(now clock.Time, id detect.ID) {
	s.members[id].checkAt = s.detector.Due(now, id)
}

// runTimers checks the members that are due before until, in order of time.
func (s *scorer) runTimers(until clock.Time) {
	for {
		first, at := detect.ID(-1), until
		for _, id := range s.owing {
			if due := s.members[id].checkAt; due < at {
				first, at = id, due
			}
		}
		if first < 0 {
			return
		}
		s.check(at, first)
	}
}

func (s *scorer) check(now clock.Time, id detect.ID) {
	m := &s.members[id]
	if !s.detector.Suspect(now, id) {
		m.checkAt = s.detector.Due(now, id)
		return
	}
	m.suspected = true
	m.checkAt = clock.Never
	if m.stopped {
		s.result.Detections = append(s.result.Detections, now.Sub(m.owedSince))
		s.detector.Forget(id)
		m.replaced = true
		s.removeOwing(id)
	}
}
