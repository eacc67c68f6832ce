package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

const testNow = clock.Time(time.Hour)

func testFingerprint(n int) Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

func testStart(n int) Start { return Start{Target: fleet.TargetID(fmt.Sprintf("t%d", n)), Born: 1} }

// testEnd returns the end of start n, n milliseconds after testNow, of a
// request sent half a millisecond earlier.
func testEnd(n int) End {
	at := testNow.Add(time.Duration(n) * time.Millisecond)
	return End{Start: testStart(n), Sent: at.Add(-time.Millisecond / 2), At: at}
}

// recordEnds records the ends of starts first to last for f, one after the
// other.
func recordEnds(l *List, f Fingerprint, first, last int) {
	for n := first; n <= last; n++ {
		l.RecordEnd(testEnd(n).At, f, "r", testEnd(n))
	}
}

// Guards against counting one end several times because several attempts or
// entry VMs saw it.
func TestEndsOfOneStartCountOnce(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	for range QuarantineThreshold {
		l.RecordEnd(testNow, f, "r", testEnd(1))
	}
	is.Equal(l.Ends(testNow, f), 1)
	again := testEnd(5)
	again.Start = Start{Target: "t1", Born: 2}
	l.RecordEnd(testNow, f, "r", again)
	is.Equal(l.Ends(testNow, f), 2)
}

// Guards against quarantining requests that were in flight at several of many
// targets that crashed at once.
func TestTargetsThatEndTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	for n := range 10 {
		e := testEnd(n)
		e.Sent = testNow.Add(-time.Second)
		l.RecordEnd(testNow, f, "r", e)
	}
	is.Equal(l.Ends(testNow, f), 1)
}

// Guards against a request staying in quarantine although it is answered
// elsewhere: it was in flight beside a query of death at each end.
func TestAnswerClearsEarlierEnds(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	recordEnds(&l, f, 1, QuarantineThreshold)
	is.True(l.Find(testNow, f).Quarantined())
	cleared := l.RecordAnswer(testNow.Add(time.Second), f)
	is.True(cleared.Changed)
	is.True(cleared.Lifted())
	is.Equal(l.Ends(testNow.Add(time.Second), f), 0)

	var other List // receives the ends after the answer
	other.Merge(testNow, &cleared.Record)
	recordEnds(&other, f, 1, QuarantineThreshold)
	is.Equal(other.Ends(testNow.Add(time.Second), f), 0)
	recordEnds(&other, f, QuarantineThreshold+1, QuarantineThreshold+1)
	is.Equal(other.Ends(testNow.Add(time.Second), f), 1)
}

// Guards against entry VMs that disagree on what is in quarantine because they
// learn of the same ends in another order.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := testFingerprint(1)
		var records []Record
		var source List
		for n := range 1 + rng.IntN(6) {
			records = append(records, source.RecordEnd(testNow, f, "r", testEnd(n)).Record)
			if rng.IntN(4) == 0 {
				records = append(records, source.RecordAnswer(testNow, f).Record)
			}
		}
		want := source.Ends(testNow, f)
		for range 5 {
			var l List
			for _, i := range rng.Perm(len(records)) {
				l.Merge(testNow, &records[i])
				l.Merge(testNow, &records[rng.IntN(len(records))])
			}
			for i := range records {
				l.Merge(testNow, &records[i])
			}
			if got := l.Ends(testNow, f); got != want {
				t.Fatalf("seed %d: %d ends when merged in another order, %d at the source", seed, got, want)
			}
		}
	}
}

// Guards against an unlimited number of trials, each of which may end a
// target.
func TestTrialsAreBoundedAndSpacedOut(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	recordEnds(&l, f, 1, QuarantineThreshold)
	now := testNow
	for n := range trialDelays {
		at := l.Find(now, f).TrialAt()
		is.Equal(at, l.Find(now, f).Since.Add(trialDelays[n]))
		now = at
		l.RecordTrial(now, f)
		l.RecordEnd(now, f, "r", End{Start: testStart(10 + n), Sent: now, At: now})
	}
	is.True(!l.Find(now, f).TrialAt().Before(now.Add(quarantineRetention)))
	is.Equal(l.Find(now.Add(quarantineRetention), f), nil)
}

// Guards against a harmless request that waits for two minutes although none
// of its trials has ended a target: another attempt was in flight when its
// fingerprint came into quarantine, and its target ended as well.
func TestOnlyTrialsDelayTheNextTrial(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	recordEnds(&l, f, 1, QuarantineThreshold+1)
	rec := l.Find(testNow, f)
	is.Equal(rec.TrialAt(), rec.Since.Add(trialDelays[0]))
	l.RecordTrial(rec.TrialAt(), f) // without a result, as when its target is full
	rec = l.Find(testNow, f)
	is.Equal(rec.TrialAt(), rec.Since.Add(trialDelays[0]))
}

// Guards against a caller that fills the memory, or evicts what is in
// quarantine, by having many different requests in flight at targets that end.
func TestListIsBounded(t *testing.T) {
	is := is.New(t)
	var l List
	deadly := testFingerprint(0)
	recordEnds(&l, deadly, 1, QuarantineThreshold)
	for n := 1; n < 2*maxRecords; n++ {
		recordEnds(&l, testFingerprint(n), 1, 1)
	}
	is.True(l.Len() <= maxRecords)
	is.True(l.Find(testNow, deadly).Quarantined())
	r := Record{Fingerprint: testFingerprint(-1), Since: testNow}
	for n := range 1000 {
		r.Ended = append(r.Ended, testEnd(n))
	}
	l.Merge(testNow, &r)
	is.Equal(len(l.Find(testNow, r.Fingerprint).Ended), maxListLen)
}

// Guards against missing a new query of death on a path that is requested all
// the time, and is therefore in flight at a great many ends.
func TestEndsCountAfterManyClearedEnds(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	for n := range 5 * maxListLen {
		recordEnds(&l, f, n, n)
		l.RecordAnswer(testNow.Add(time.Duration(n)*time.Millisecond), f)
	}
	recordEnds(&l, f, 1000, 1000+QuarantineThreshold-1)
	is.True(l.Find(testNow, f).Quarantined())
}

// Guards against an entry VM whose clock is ahead prolonging a quarantine.
func TestTimestampsFromTheFutureAreClamped(t *testing.T) {
	is := is.New(t)
	var l List
	l.Merge(testNow, &Record{Fingerprint: testFingerprint(1), Ended: []End{testEnd(1)}, Since: testNow.Add(time.Hour)})
	is.Equal(l.Find(testNow, testFingerprint(1)).Since, testNow)
}

// Expired records are dropped. Those in quarantine are returned, because
// operators may still see them in force.
func TestExpire(t *testing.T) {
	is := is.New(t)
	var l List
	recordEnds(&l, testFingerprint(1), 1, QuarantineThreshold)
	recordEnds(&l, testFingerprint(2), 1, 1)
	is.Equal(len(l.Expire(testNow.Add(time.Minute))), 0)
	is.Equal(l.Len(), 2)
	is.Equal(len(l.Expire(testNow.Add(time.Hour))), 0)
	is.Equal(l.Len(), 1)
	is.Equal(l.QuarantinedCount(), 1)
	is.Equal(l.Expire(testNow.Add(quarantineRetention+time.Second)), []Fingerprint{testFingerprint(1)})
	is.Equal(l.Len(), 0)
}

// Guards against a harmless request in quarantine because the ends of its targets
// were proved, or reported by another entry VM, only after it was answered.
func TestAnswerClearsEndsReportedLater(t *testing.T) {
	is := is.New(t)
	f := testFingerprint(1)
	var remote List
	recordEnds(&remote, f, 1, QuarantineThreshold)
	reported := remote.Find(testNow, f)

	var l List
	answered := testEnd(QuarantineThreshold).At.Add(time.Second)
	is.True(!l.RecordAnswer(answered, f).Changed)
	now := answered.Add(time.Second)
	c := l.RecordEnd(now, f, "r", testEnd(0))
	is.True(c.Changed)
	is.True(c.Answered)
	is.Equal(l.Ends(now, f), 0)
	c = l.Merge(now, reported)
	is.True(c.Answered)
	is.True(c.Cleared)
	is.Equal(l.Ends(now, f), 0)

	c = remote.Merge(now, &c.Record) // the other VM learns of the answer
	is.True(c.Lifted())
	is.True(c.Cleared)
	is.True(!c.Answered)
	is.Equal(remote.Ends(now, f), 0)
}

// Guards against a query of death that goes undetected because an answer is taken
// to clear ends that came after it, or ends of another fingerprint.
func TestAnswerClearsNoLaterEnds(t *testing.T) {
	is := is.New(t)
	var l List
	f := testFingerprint(1)
	l.RecordAnswer(testNow, f)
	recordEnds(&l, f, 1, QuarantineThreshold)
	is.True(l.Find(testNow, f).Quarantined())

	deadly, harmless := testFingerprint(2), testFingerprint(2+answerSlots)
	is.Equal(answerSlot(deadly), answerSlot(harmless))
	l.RecordAnswer(testNow.Add(time.Second), harmless)
	recordEnds(&l, deadly, 1, QuarantineThreshold)
	is.True(l.Find(testNow, deadly).Quarantined())
}
