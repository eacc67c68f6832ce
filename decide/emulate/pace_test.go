package emulate

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// popularObjects makes the objects of a pattern so popular that each is cached at several
// targets.
func popularObjects(p *Pattern) {
	for i := range p.Kinds {
		p.Kinds[i].Objects /= 10
	}
}

// Load: a fifth of the machines at two and a half times. Guards against a stated pace that
// does not help callers: it must lower the number of late answers without more refusals,
// and leave the share of other regions within its bound.
func TestStatedPaceHelpsCallers(t *testing.T) {
	is := is.New(t)
	const seeds, confidence = 4, 3
	run := func(stated bool) (worth, missed float64, refused int) {
		p := readPattern(t, "uneven-targets", func(p *Pattern) {
			popularObjects(p)
			p.Pace.Stated = stated
		})
		for _, r := range runSeeds(p, seeds, 0) {
			worth += r.All.Worth() / seeds
			missed += 1 - float64(r.All.InAim)/float64(r.All.Asked)
			refused += r.All.Refused
			is.True(r.WorstShift.Deviates < confidence)
		}
		return worth, missed / seeds, refused
	}
	worth, missed, refused := run(false)
	pacedWorth, pacedMissed, pacedRefused := run(true)
	t.Logf("worth %.4f, %.4f late or refused, %d refused; with stated pace %.4f, %.4f, %d", worth, missed, refused, pacedWorth, pacedMissed, pacedRefused)
	is.True(pacedWorth > worth)
	is.True(pacedMissed < 0.95*missed)
	is.True(float64(pacedRefused) < 1.1*float64(refused))
}

// Guards against a model whose machines are busy for another share of the time than the
// pattern says, change more or less often, or depend on when they are asked.
func TestMachineFollowsPattern(t *testing.T) {
	is := is.New(t)
	p := &Pace{Share: 0.2, Factor: 2.5, ChangeMS: 600, Stated: true}
	const start = clock.Time(time.Hour)
	m := newMachine(p, 1, 7, start)
	busy, n := 0, 0
	for at := start; at < start.Add(time.Hour); at = at.Add(50 * time.Millisecond) {
		if m.statedPace(at) == 250 {
			busy++
		}
		n++
	}
	is.True(math.Abs(float64(busy)/float64(n)-p.Share) < 0.02)
	is.True(math.Abs(time.Hour.Seconds()/float64(len(m.spans))-0.6) < 0.03)
	again := newMachine(p, 1, 7, start)
	is.Equal(again.statedPace(start.Add(time.Hour)), m.statedPace(start.Add(time.Hour)))
	is.Equal(again.spans, m.spans[:len(again.spans)])
}

// Guards against work that takes the pace of its start for its whole time.
func TestWorkFollowsEachMomentsPace(t *testing.T) {
	is := is.New(t)
	const start = clock.Time(time.Hour)
	m := &machine{pace: &Pace{Factor: 2}, spans: []span{
		{until: start.Add(100 * time.Millisecond), busy: true}, {until: start.Add(200 * time.Millisecond)}, {until: start.Add(time.Hour), busy: true},
	}}
	is.Equal(m.duration(start, 40*time.Millisecond), 80*time.Millisecond)
	is.Equal(m.duration(start, 50*time.Millisecond), 100*time.Millisecond)
	is.Equal(m.duration(start, 200*time.Millisecond), 300*time.Millisecond) // 50, 100 and 50 ms of work
	is.Equal(m.duration(start.Add(150*time.Millisecond), 20*time.Millisecond), 20*time.Millisecond)
	is.Equal(m.statedPace(start), 0) // not stated
	m = nil
	is.Equal(m.duration(start, time.Second), time.Second)
	is.Equal(m.statedPace(start), 0)
}

// Guards against long work that changes which requests arrive, or is not long.
func TestLongTailIsDrawnApart(t *testing.T) {
	is := is.New(t)
	run := func(tail *LongTail) *Result {
		return Run(smallRegion(t, func(p *Pattern) { p.Seconds, p.Events, p.LongTail = 4, nil, tail }), Variant{Seed: 1})
	}
	without, never, always := run(nil), run(&LongTail{Share: 0, Factor: 7}), run(&LongTail{Share: 1, Factor: 7})
	is.Equal(without, never)
	is.True(always.All.InAim < without.All.InAim/2)
}

// Guards against a burst of one kind that changes the load of the others, of other failure
// domains, or of the time after it.
func TestBurstOfOneKind(t *testing.T) {
	is := is.New(t)
	run := func(events ...Event) *Result {
		return Run(smallRegion(t, func(p *Pattern) { p.Seconds, p.Events = 6, events }), Variant{Seed: 1})
	}
	usual := run()
	burst := run(Event{Kind: Burst, Start: 2, Duration: 2, Value: 4, RequestKind: "lodge", Domain: "a1"})
	near := func(got int, want float64) { is.Helper(); is.True(math.Abs(float64(got)-want) < 5*math.Sqrt(want)) }
	before := float64(usual.Kinds["lodge"].Asked)
	near(burst.Kinds["lodge"].Asked, before*(1+3.0/6/3)) // three times as many more in a third of the time, in one of six domains
	near(burst.Kinds["look"].Asked, float64(usual.Kinds["look"].Asked))
	near(burst.Domains["a2"].Asked, float64(usual.Domains["a2"].Asked))
	near(burst.Windows[0].Asked, float64(usual.Windows[0].Asked))
	near(burst.Windows[2].Asked, float64(usual.Windows[2].Asked))
}

// Guards against patterns whose figures make no sense.
func TestUnevenPatternsAreChecked(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Pattern){
		func(p *Pattern) { p.Pace.Share = 1.1 },
		func(p *Pattern) { p.Pace.Share = -0.1 },
		func(p *Pattern) { p.Pace.Factor = 0 },
		func(p *Pattern) { p.Pace.ChangeMS = 0 },
		func(p *Pattern) { p.LongTail.Share = 2 },
		func(p *Pattern) { p.LongTail.Factor = -1 },
		func(p *Pattern) { p.Events = []Event{{Kind: Burst, RequestKind: "unknown"}} },
	} {
		p := readPattern(t, "uneven-targets", change)
		is.True(errors.Is(p.Check(), ErrPattern))
	}
}
