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

// exchange sends one request on id and has it answered after latency.
func exchange(d detect.Detector, now clock.Time, id detect.ID, latency time.Duration) clock.Time {
	d.Sent(now, id)
	now = now.Add(latency)
	d.Done(now, id)
	return now
}

// Symptom: requests on one connection hang while the target answers others.
// Sequence: connection 1 takes a request and nothing comes back; connection 0
// goes on at 10 ms a request.
// Cause: a middlebox dropped its entry for connection 1.
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

// Symptom: every connection to a target is replaced at once under load.
// Sequence: ten requests are in flight when all answers stop for two seconds.
// Cause: the target pauses (collects garbage); it is neither dead nor are its
// connections lost.
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
		is.True(d.Suspect(now.Add(maxSilence+1), id)) // a pause has an end
	}
}

// Symptom: a dead target goes on taking requests for minutes.
// Sequence: each caller gives up after one second, below the bound, and the
// next request starts the silence anew.
// Cause: an abandoned attempt was taken for an end of the silence.
func TestAbandonedAttemptsAddUp(t *testing.T) {
	is := is.New(t)
	d := detect.ForAnswers(maxSilence)
	now := start
	for range 3 {
		d.Sent(now, 0)
		now = now.Add(time.Second)
		d.Abandoned(now, 0)
		now = now.Add(time.Minute) // idle time is no silence
		is.True(!d.Suspect(now, 0))
	}
	d.Sent(now, 0)
	now = now.Add(2 * ms)
	is.True(d.Suspect(now, 0))
	d.Abandoned(now, 0)
	is.True(d.Suspect(now.Add(time.Hour), 0)) // stays until a sign of life
	exchange(d, now, 0, ms)
	is.True(!d.Suspect(now.Add(time.Hour), 0))
}

// Symptom: a target that has answered again is still avoided, or suspected
// during the next pause of the group.
// Sequence: an attempt is abandoned after a long silence; its answer comes
// late; a new attempt is sent and the whole group pauses.
// Cause: the late answer did not end the silence and the lag counted so far.
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

// Symptom: connections are replaced one after another though nothing is wrong.
// Sequence: all requests take 100 ms; one takes 150 ms.
// Cause: a group without deviation so far made any deviation improbable.
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

// Symptom: peers that lost two heartbeats are suspected, the more often the
// more peers there are.
// Sequence: eight peers send their heartbeats at different phases.
// Cause: each heartbeat was counted as a round, not one of the fastest peer.
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

// Symptom: after months of rare losses dead peers are found late.
// Sequence: one peer is suspected for its lag and comes back, many times.
// Cause: the bound rose with every false suspicion without an end.
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

// Symptom: an entry VM declares all its peers dead, and takes over their duties.
// Sequence: it pauses for four seconds, then reads each peer's waiting
// heartbeats in turn, eight of the first before one of the second.
// Cause: heartbeats that were read together were counted as rounds apart.
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

// Completeness: whatever siblings do, one that stops is suspected within the
// maximum, by a caller that asks only when Due says so.
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
				return // owes nothing
			}
			end := now.Add(maxSilence + 1)
			for due := d.Due(now, 0); !d.Suspect(now, 0); due = d.Due(now, 0) {
				is.True(due > now)  // a timer that stands still would spin
				is.True(due <= end) // suspected in time
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

// randomEvents lets three members live for a while, and returns when it ended.
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

// Accuracy of heartbeats: while no gap is longer than the bound's maximum in
// shortest rounds, there are no more false suspicions than steps of the bound.
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
			t.Fatalf("%d false suspicions", refuted)
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
				t.Fatalf("suspected with bound %v", d.Bound())
			}
			d.Done(done, 0)
		}
	})
}
