package detect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

const (
	start      = clock.Time(time.Hour)
	maxSilence = 3 * time.Second
	interval   = 500 * ms
)

// exchange sends one request to id, answers it after latency, and returns the
// instant of the answer.
func exchange(d detect.Detector, now clock.Time, id detect.ID, latency time.Duration) clock.Time {
	d.Sent(now, id)
	now = now.Add(latency)
	d.Done(now, id)
	return now
}

// A middlebox has dropped its entry for connection 1: a request on it gets no
// answer, while connection 0 continues at 10 ms a request. Guards against
// requests that hang on the lost connection until maxSilence.
func TestSilentConnectionAmongAnsweringOnes(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	now := start
	for range 50 {
		now = exchange(d, now, 0, 10*ms)
	}
	sent := now
	d.Sent(sent, 1)
	for !d.Suspect(now, 1) && now.Sub(sent) < time.Second {
		now = exchange(d, now, 0, 10*ms)
		is.True(!d.Suspect(now, 0)) // the answering sibling
	}
	is.True(now.Sub(sent) < 100*ms) // far below maxSilence
}

// The target pauses for two seconds (garbage collection) with ten requests in
// flight. Guards against replacing every connection at the same time under
// load, though neither the target nor its connections have failed.
func TestPauseOfAllSuspectsNobodyBeforeMaxSilence(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	now := start
	for range 50 {
		now = exchange(d, now, 0, 10*ms)
	}
	for id := range detect.ID(10) {
		d.Sent(now, id)
	}
	for id := range detect.ID(10) {
		is.True(!d.Suspect(now.Add(2*time.Second), id))
		is.True(d.Suspect(now.Add(maxSilence+1), id)) // too long for a pause
	}
}

// Each caller of a dead target gives up after one second, which is below the
// bound. Guards against an abandoned request that ends the silence, so that the
// target would still get requests for minutes.
func TestAbandonedAttemptsAddUp(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	now := start
	for range 3 {
		d.Sent(now, 0)
		now = now.Add(time.Second)
		d.Abandoned(now, 0)
		now = now.Add(time.Minute) // idle time doesn't count as silence
		is.True(!d.Suspect(now, 0))
	}
	d.Sent(now, 0)
	now = now.Add(2 * ms)
	is.True(d.Suspect(now, 0))
	d.Abandoned(now, 0)
	is.True(d.Suspect(now.Add(time.Hour), 0)) // suspected until a sign of life
	exchange(d, now, 0, ms)
	is.True(!d.Suspect(now.Add(time.Hour), 0))
}

// A request is abandoned after a long silence, its answer arrives late, a new
// request is sent, and the whole group pauses. Guards against a late answer
// that doesn't reset the silence and the lag: the target would still be
// avoided, or suspected during the pause.
func TestLateAnswerEndsTheSilence(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	now := start
	d.Sent(now, 1)
	for range 50 {
		now = exchange(d, now, 0, 10*ms)
	}
	d.Abandoned(now, 1)
	is.True(d.Suspect(now, 1))
	d.Heard(now, 1)
	is.True(!d.Suspect(now, 1))
	d.Sent(now, 1)
	is.True(!d.Suspect(now.Add(maxSilence-100*ms), 1))
	is.True(d.Suspect(now.Add(maxSilence+1), 1))
}

// All requests take 100 ms, then one takes 150 ms. Guards against replacing
// healthy connections one after another: in a group without any deviation so
// far, every deviation would be improbable.
func TestFirstJitterOfSteadyGroup(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	const siblings, step = 5, 20 * ms
	for i := range 100 {
		now := start.Add(time.Duration(i) * step)
		id := detect.ID(i % siblings)
		if i >= siblings {
			d.Done(now, id)
		}
		d.Sent(now, id)
		if i == 50 {
			d.Sent(now, siblings)
		}
		if i <= 57 { // 140 ms later
			is.True(!d.Suspect(now, siblings))
		}
	}
	is.True(d.Suspect(start.Add(100*step), siblings))
}

// Eight peers send their heartbeats at different phases, and two of three
// heartbeats of one peer are lost. Guards against counting each heartbeat as a
// round, instead of those of the fastest peer: a peer that lost two heartbeats
// would be suspected, and more often the more peers there are.
func TestStaggeredHeartbeatsMakeOneRound(t *testing.T) {
	is := is.New(t)
	d := detect.ForHeartbeats(interval)
	const peers = 8
	for id := range detect.ID(peers) {
		d.Sent(start, id)
	}
	for i := range 20 * peers {
		now := start.Add(time.Duration(i) * interval / peers)
		id := detect.ID(i % peers)
		is.True(!d.Suspect(now, id))
		if lost := id == 0 && i/peers%3 != 0; !lost {
			d.Heard(now, id)
		}
	}
}

// One peer is suspected for its lag and returns, many times. Guards against a
// bound that rises with every false suspicion without limit, so that after
// months of rare losses dead peers would be detected late.
func TestLagBoundHasMaximum(t *testing.T) {
	is := is.New(t)
	d := detect.ForHeartbeats(interval)
	now := start
	d.Sent(now, 0)
	d.Sent(now, 1)
	for range 20 {
		for range 10 {
			now = now.Add(interval)
			d.Heard(now, 0)
		}
		d.Heard(now, 1)
	}
	is.Equal(d.LagBound(), int64(8))
}

// An entry VM pauses for four seconds, then reads each peer's waiting heartbeats
// in turn, eight of the first before one of the second. Guards against counting
// heartbeats read in the same instant as separate rounds: the entry VM would
// declare all its peers dead and take over their duties.
func TestObserverPauseSuspectsNobody(t *testing.T) {
	is := is.New(t)
	d := detect.ForHeartbeats(interval)
	now := start
	for id := range detect.ID(4) {
		d.Sent(now, id)
	}
	for range 10 {
		now = now.Add(interval)
		for id := range detect.ID(4) {
			d.Heard(now, id)
		}
	}
	now = now.Add(8 * interval)
	for id := range detect.ID(4) {
		for range 8 {
			d.Heard(now, id)
			for other := range detect.ID(4) {
				is.True(!d.Suspect(now, other))
			}
		}
	}
}

// Completeness: whatever its siblings do, a member that stops is suspected
// within maxSilence, even if it is checked only at the instants that Due
// returns.
func TestStoppedIsSuspectedWithinMaximum(t *testing.T) {
	detectors := map[string]func() detect.Detector{
		"answers":    func() detect.Detector { return detect.ForAnswers(maxSilence) },
		"heartbeats": func() detect.Detector { return detect.ForHeartbeats(maxSilence / 12) },
		"fixed":      func() detect.Detector { return detect.NewFixed(maxSilence) },
	}
	for name, make := range detectors {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			is := is.NewRelaxed(t)
			d := make()
			now := randomEvents(t, d, start)
			if rapid.Bool().Draw(t, "fresh request") {
				d.Sent(now, 0)
			}
			if d.Due(now, 0) == clock.Never {
				return // owes no answer
			}
			end := now.Add(maxSilence + 1)
			for due := d.Due(now, 0); !d.Suspect(now, 0); due = d.Due(now, 0) {
				is.True(due > now)  // otherwise the timer would fire in an endless loop
				is.True(due <= end) // suspected within maxSilence
				if due <= now || due > end {
					return
				}
				now = due
				if rapid.Bool().Draw(t, "sibling answers") {
					exchange(d, now, 1, 0)
				}
			}
		}))
	}
}

// randomEvents reports random events of three members, and returns the instant
// of the last one.
func randomEvents(t *rapid.T, d detect.Detector, now clock.Time) clock.Time {
	for range rapid.IntRange(0, 60).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(700*ms)).Draw(t, "gap")))
		id := detect.ID(rapid.IntRange(0, 2).Draw(t, "id"))
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0, 1:
			d.Sent(now, id)
		case 2:
			d.Done(now, id)
		case 3:
			d.Heard(now, id)
		case 4:
			d.Abandoned(now, id)
		case 5:
			d.Forget(id)
		}
	}
	return now
}

// Accuracy of heartbeats: while no gap exceeds the maximum bound, counted in
// rounds of minimum length, there are no more false suspicions than steps from
// the initial to the maximum bound.
func TestFalseSuspicionsOfHeartbeatsAreBounded(t *testing.T) {
	const peers, steps, longestGap = 4, 8 - 3, 8 * interval / 2
	rapid.Check(t, func(t *rapid.T) {
		d := detect.ForHeartbeats(interval)
		var next [peers]clock.Time
		for id := range next {
			d.Sent(start, detect.ID(id))
			next[id] = start
		}
		refuted := 0
		for range rapid.IntRange(100, 400).Draw(t, "heartbeats") {
			first := 0
			for id := range next {
				if next[id] < next[first] {
					first = id
				}
			}
			now, id := next[first], detect.ID(first)
			if d.Suspect(now, id) {
				refuted++
			}
			d.Heard(now, id)
			next[first] = now.Add(time.Duration(rapid.Int64Range(int64(interval/2), int64(longestGap)).Draw(t, "gap")))
		}
		if refuted > steps {
			t.Fatalf("%d false suspicions, more than %d", refuted, steps)
		}
	})
}

// Accuracy of answers: latencies that differ by less than half are never
// suspected, at any speed of the service.
func TestSteadyAnswersAreNeverSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := detect.ForAnswers(maxSilence)
		least := time.Duration(rapid.Int64Range(int64(ms), int64(time.Second)).Draw(t, "least"))
		latency := rapid.Int64Range(int64(least), int64(least+least/2))
		now := start
		for range 100 {
			d.Sent(now, 0)
			done := now.Add(time.Duration(latency.Draw(t, "latency")))
			for now < done {
				now = clock.Min(done, exchange(d, now, 1, least))
			}
			if d.Suspect(done, 0) {
				t.Fatalf("member 0 suspected %v after the start, with bound %v", done.Sub(start), d.Bound())
			}
			d.Done(done, 0)
		}
	})
}
