package detecttest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

// Pause describes random pauses in which answers or heartbeats are delayed.
type Pause struct {
	Every time.Duration // mean time between pauses; 0: none
	Mean  time.Duration // mean length, exponentially distributed
}

// Requests describes a trace of requests to a group of connections or targets.
type Requests struct {
	Name           string
	Members        int           // connections or targets
	Capacity       int           // concurrent requests of a member
	Rate           float64       // requests a second, over the group
	Length         time.Duration // of the trace
	Median         time.Duration // of the latency
	Sigma          float64       // of the logarithm of the latency
	LongShare      float64       // share of requests whose latency is drawn from a Pareto tail instead
	MaxLongLatency time.Duration // longest latency of these
	Stops          int           // number of members that stop, spread over the trace
	SlowFactor     float64       // latency factor in the second half, of all members; 0: 1
	ColdFactor     float64       // latency factor of member 0 for ColdLength from a third of the trace on; 0: 1
	ColdLength     time.Duration
	PauseAll       Pause // delays the answers of all members
	PauseOne       Pause // delays the answers of one member; drawn for each
}

// Heartbeats describes a trace of peers that send heartbeats at one interval.
type Heartbeats struct {
	Name     string
	Members  int
	Interval time.Duration
	Jitter   time.Duration // mean extra delay, exponentially distributed
	Loss     float64       // share of heartbeats lost
	Length   time.Duration
	Stops    int
	PauseAll Pause // pauses of the observer
	PauseOne Pause // pauses of one peer; drawn for each
}

// start is the first instant of every generated trace.
const start = clock.Time(time.Second)

type pauses []struct{ from, to clock.Time }

func (p Pause) generate(r *rand.Rand, length time.Duration) pauses {
	var all pauses
	if p.Every == 0 {
		return all
	}
	end := start.Add(length)
	for at := start; ; {
		at = at.Add(exponential(r, p.Every))
		if at >= end {
			return all
		}
		to := at.Add(exponential(r, p.Mean))
		all = append(all, struct{ from, to clock.Time }{at, to})
		at = to
	}
}

// endOfPause returns the end of the pause that contains t, or t if there is none.
func (p pauses) endOfPause(t clock.Time) clock.Time {
	for _, i := range p {
		if i.from <= t && t < i.to {
			return i.to
		}
	}
	return t
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// Generate returns the trace for a seed. A stopped connection or target accepts
// requests until it is full and answers none; a new member with a new ID
// replaces it.
func (q Requests) Generate(seed uint64) Trace {
	r := rand.New(rand.NewPCG(seed, uint64(len(q.Name))))
	g := requestGenerator{Requests: q, rand: r, groupPauses: q.PauseAll.generate(r, q.Length)}
	for id := range q.Members {
		g.addMember(detect.ID(id))
	}
	stops := stopTimes(r, q.Stops, q.Length)
	end := start.Add(q.Length)
	for at := start; at < end; at = at.Add(exponential(r, time.Duration(float64(time.Second)/q.Rate))) {
		for len(stops) > 0 && stops[0] <= at {
			g.stopRandomMember(stops[0])
			stops = stops[1:]
		}
		g.removeAnswered(at)
		g.sendRequest(at)
	}
	return newTrace(q.Name, g.events, end)
}

type simulatedMember struct {
	id          detect.ID
	stopped     bool
	answerTimes []clock.Time // when each request in flight will be answered
	pauses      pauses
}

type requestGenerator struct {
	Requests
	rand        *rand.Rand
	groupPauses pauses
	members     []*simulatedMember // all that accept requests, stopped ones included
	events      []Event
	lastID      detect.ID
}

func (g *requestGenerator) addMember(id detect.ID) {
	g.members = append(g.members, &simulatedMember{id: id, pauses: g.PauseOne.generate(g.rand, g.Length)})
	g.lastID = id
}

// stopRandomMember stops a random member. Its requests in flight are never
// answered.
func (g *requestGenerator) stopRandomMember(at clock.Time) {
	m := g.members[g.rand.IntN(len(g.members))]
	if m.stopped {
		return
	}
	m.stopped = true
	g.events = slices.DeleteFunc(g.events, func(e Event) bool {
		return e.ID == m.id && e.Kind == Done && e.At > at
	})
	g.events = append(g.events, Event{At: at, Kind: Stop, ID: m.id})
	g.addMember(g.lastID + 1)
}

// removeAnswered frees the capacity of requests that have been answered by at,
// and removes stopped members that are full.
func (g *requestGenerator) removeAnswered(at clock.Time) {
	for _, m := range g.members {
		if !m.stopped {
			m.answerTimes = slices.DeleteFunc(m.answerTimes, func(t clock.Time) bool { return t <= at })
		}
	}
	g.members = slices.DeleteFunc(g.members, func(m *simulatedMember) bool {
		return m.stopped && len(m.answerTimes) >= g.Capacity
	})
}

// sendRequest assigns a request to the less loaded of two random members. If
// both are full, the request is refused and adds no event.
func (g *requestGenerator) sendRequest(at clock.Time) {
	m := g.members[g.rand.IntN(len(g.members))]
	if o := g.members[g.rand.IntN(len(g.members))]; len(o.answerTimes) < len(m.answerTimes) {
		m = o
	}
	if len(m.answerTimes) >= g.Capacity {
		return
	}
	done := m.pauses.endOfPause(g.groupPauses.endOfPause(at.Add(g.latency(at, m.id))))
	m.answerTimes = append(m.answerTimes, done)
	g.events = append(g.events, Event{At: at, Kind: Sent, ID: m.id})
	if !m.stopped {
		g.events = append(g.events, Event{At: done, Kind: Done, ID: m.id})
	}
}

func (g *requestGenerator) latency(at clock.Time, id detect.ID) time.Duration {
	seconds := g.Median.Seconds() * math.Exp(g.Sigma*g.rand.NormFloat64())
	if g.rand.Float64() < g.LongShare {
		pareto := g.Median.Seconds() * math.Pow(1-g.rand.Float64(), -1/1.1)
		seconds = min(4*pareto, g.MaxLongLatency.Seconds())
	}
	since := at.Sub(start)
	if g.SlowFactor > 0 && since > g.Length/2 {
		seconds *= g.SlowFactor
	}
	cold := g.Length / 3
	if g.ColdFactor > 0 && id == 0 && since > cold && since < cold+g.ColdLength {
		seconds *= g.ColdFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// Generate returns the trace for a seed.
func (h Heartbeats) Generate(seed uint64) Trace {
	r := rand.New(rand.NewPCG(seed, uint64(len(h.Name))))
	all := h.PauseAll.generate(r, h.Length)
	stops := stopTimes(r, h.Stops, h.Length)
	var events []Event
	for i := range h.Members {
		id := detect.ID(i)
		end := start.Add(h.Length)
		if i < len(stops) {
			end = stops[i]
			events = append(events, Event{At: end, Kind: Stop, ID: id})
		}
		own := h.PauseOne.generate(r, h.Length)
		events = append(events, Event{At: start, Kind: Sent, ID: id})
		phase := time.Duration(r.Float64() * float64(h.Interval))
		for at := start.Add(phase); at < end; at = own.endOfPause(at).Add(h.Interval) {
			if r.Float64() < h.Loss {
				continue
			}
			arrival := all.endOfPause(own.endOfPause(at).Add(exponential(r, h.Jitter)))
			events = append(events, Event{At: arrival, Kind: Heard, ID: id})
		}
	}
	return newTrace(h.Name, events, start.Add(h.Length))
}

// stopTimes returns n random instants, none in the first or last tenth of a
// trace.
func stopTimes(r *rand.Rand, n int, length time.Duration) []clock.Time {
	times := make([]clock.Time, n)
	for i := range times {
		times[i] = start.Add(length/10 + time.Duration(r.Float64()*0.8*float64(length)))
	}
	slices.Sort(times)
	return times
}

// newTrace returns a trace of the events up to end, in order of time.
func newTrace(name string, events []Event, end clock.Time) Trace {
	events = slices.DeleteFunc(events, func(e Event) bool { return e.At > end })
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Trace{Name: name, Events: events}
}
