package emulate

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/decide/verdict"
)

// noticeGrace is how long after a notice an entry VM's requests may still reach the
// target: they were on their way.
const noticeGrace = 500 * time.Millisecond

// NoticeCounts counts the requests that targets got in spite of their notices, each
// from one process of an entry VM.
type NoticeCounts struct {
	// AfterLeaving is the number of requests that callers sent more than noticeGrace
	// after the VM had received an answer that states that its target is leaving,
	// and that reached that target.
	AfterLeaving int `json:"after_leaving"`
	// InBackoff is the largest number of requests that reached a target from a VM
	// within a backoff, from noticeGrace after the answer that asks for it.
	InBackoff int `json:"in_backoff"`
	// Leaving and Backoffs are the numbers of answers that stated either.
	Leaving  int `json:"leaving"`
	Backoffs int `json:"backoffs"`
}

// noticeRecorder records what each process of an entry VM was told, and what it sent
// nevertheless.
type noticeRecorder struct {
	result NoticeCounts
	told   map[noticeKey]*toldNotices
}

// noticeKey identifies an instance of a target as seen by a process of an entry VM.
type noticeKey struct {
	process   processID
	target    fleet.TargetID
	startedAt int64
}

// toldNotices are the notices of one instance that one process has received.
type toldNotices struct {
	leavingSince clock.Time // 0: not leaving
	backoffs     []backoffWindow
}

// backoffWindow is a time in which a target wants no requests from a process.
type backoffWindow struct {
	from, until clock.Time
	requests    int
}

func (s *targetSend) noticeKey() noticeKey {
	t := &s.target.registered
	return noticeKey{processID{s.vm.self.ID, s.processNumber}, t.ID, t.StartedAt}
}

func (rec *noticeRecorder) of(k noticeKey) *toldNotices {
	if rec.told == nil {
		rec.told = make(map[noticeKey]*toldNotices)
	}
	t, ok := rec.told[k]
	if !ok {
		t = new(toldNotices)
		rec.told[k] = t
	}
	return t
}

// countAnswer records an answer that a target has just sent.
func (rec *noticeRecorder) countAnswer(now clock.Time, s *targetSend, n notice.Notice) {
	if n.Leaving {
		rec.result.Leaving++
	}
	if n.Backoff == 0 {
		return
	}
	rec.result.Backoffs++
	t := rec.of(s.noticeKey())
	t.backoffs = slices.DeleteFunc(t.backoffs, func(w backoffWindow) bool { return w.until.Before(now) })
	t.backoffs = append(t.backoffs, backoffWindow{from: now.Add(noticeGrace), until: now.Add(n.Backoff)})
}

// countReceived records a notice that the VM of s has received.
func (rec *noticeRecorder) countReceived(now clock.Time, s *targetSend, n notice.Notice) {
	if t := rec.of(s.noticeKey()); n.Leaving && t.leavingSince == 0 {
		t.leavingSince = now
	}
}

// countArrival records that s has reached its target directly.
func (rec *noticeRecorder) countArrival(now clock.Time, s *targetSend) {
	t, ok := rec.told[s.noticeKey()]
	if !ok {
		return
	}
	if t.leavingSince != 0 && s.attempt.sentAt.Sub(t.leavingSince) > noticeGrace {
		rec.result.AfterLeaving++
	}
	for i := range t.backoffs {
		if w := &t.backoffs[i]; !now.Before(w.from) && now.Before(w.until) {
			w.requests++
			rec.result.InBackoff = max(rec.result.InBackoff, w.requests)
		}
	}
}

func (rec *noticeRecorder) counts() NoticeCounts { return rec.result }

// notice returns what an answer of t states.
func (t *target) notice(o ingress.Outcome) notice.Notice {
	n := notice.Notice{Leaving: t.leaving}
	if o == ingress.Refused {
		n.Backoff = t.backoff
	}
	return n
}

// receiveNotice passes the notice in an answer to the VM of s.
func (sim *simulation) receiveNotice(s *targetSend, n notice.Notice) {
	if n.Empty() || s.ended || s.vm.processNumber != s.processNumber {
		return
	}
	s.attempt.notice = n
	sim.recorder.notices.countReceived(sim.now, s, n)
	sim.step(s.vm, &ingress.NoticeReceived{Target: s.target.registered.ID, StartedAt: s.target.registered.StartedAt, Notice: n})
}

// recall ends a send that still waits for a connection.
func (sim *simulation) recall(v *vm, id ingress.AttemptID) {
	s := v.attempts[id]
	if s == nil || s.ended {
		return
	}
	p := v.connections.pool(s.connectionEnd())
	at := slices.Index(p.waiting, s)
	if at < 0 {
		return
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	sim.after(0, func() {
		sim.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable})
	})
}
