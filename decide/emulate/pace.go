package emulate

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/pace"
)

// Pace describes targets that share their machines with other work. Each target has a
// machine of its own; its pace changes independently of the others.
type Pace struct {
	// Share is the share of the machines that are busy at any moment.
	Share float64 `json:"share"`
	// Factor multiplies the time of work while its machine is busy.
	Factor float64 `json:"factor"`
	// ChangeMS is the mean time in ms between two moments at which it is drawn anew
	// whether a machine is busy.
	ChangeMS float64 `json:"change_ms"`
	// Stated means that the targets state their pace in their answers.
	Stated bool `json:"stated"`
}

// LongTail describes requests that take longer than others of their kind, at every target.
type LongTail struct {
	Share  float64 `json:"share"`  // of the requests
	Factor float64 `json:"factor"` // multiplies the work of these requests
}

// Streams of the generators that are drawn from apart from the simulation's own one, so
// that a pattern has the same arrivals with and without pace and long work.
const (
	paceStream = 1 << 32 // plus the number of the target
	tailStream = 12
)

// machine is the sequence of paces of one target's machine. It depends on the seed and the
// target alone, so runs that differ in other respects have the same sequence.
type machine struct {
	pace  *Pace
	rng   *rand.Rand
	spans []span
}

// span is a time of constant pace, which lasts from the end of the preceding one to until.
type span struct {
	until clock.Time
	busy  bool
}

func newMachine(p *Pace, seed, number uint64, start clock.Time) *machine {
	m := &machine{pace: p, rng: rand.New(rand.NewPCG(seed, paceStream+number))}
	m.extend(start)
	return m
}

// extend adds the span that begins at from.
func (m *machine) extend(from clock.Time) {
	length := max(millis(m.rng.ExpFloat64()*m.pace.ChangeMS), time.Microsecond)
	m.spans = append(m.spans, span{until: from.Add(length), busy: m.rng.Float64() < m.pace.Share})
}

// spanAt returns the index of the span at an instant.
func (m *machine) spanAt(now clock.Time) int {
	for last := m.spans[len(m.spans)-1]; !now.Before(last.until); last = m.spans[len(m.spans)-1] {
		m.extend(last.until)
	}
	return sort.Search(len(m.spans), func(i int) bool { return now.Before(m.spans[i].until) })
}

func (m *machine) factorOf(i int) float64 {
	if m.spans[i].busy {
		return m.pace.Factor
	}
	return 1
}

// duration returns how long work that is started at now takes, given its time at the
// usual pace. The pace of each moment applies to the work done in it. A nil machine has
// the usual pace.
func (m *machine) duration(now clock.Time, work time.Duration) time.Duration {
	if m == nil {
		return work
	}
	left, at := float64(work), now
	for {
		i := m.spanAt(at)
		f, rest := m.factorOf(i), float64(m.spans[i].until.Sub(at))
		if left*f <= rest {
			return at.Add(time.Duration(left * f)).Sub(now)
		}
		left -= rest / f
		at = m.spans[i].until
	}
}

// statedPace returns the pace in percent that a target's answer states; 0: none.
func (m *machine) statedPace(now clock.Time) int {
	if m == nil || !m.pace.Stated {
		return 0
	}
	return int(math.Round(m.factorOf(m.spanAt(now)) * pace.AsUsual))
}

// drawWorkFactor draws by what the work of a request is multiplied.
func (sim *simulation) drawWorkFactor() float64 {
	t := sim.pattern.LongTail
	if t == nil || sim.tailRNG.Float64() >= t.Share {
		return 1
	}
	return t.Factor
}
