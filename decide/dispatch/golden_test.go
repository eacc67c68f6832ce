package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/cockroachdb/datadriven"
)

// TestSessions replays the sessions in testdata/sessions. Each line of a
// session holds a time, an event and its fields; the output lists the effects.
// Attempts are named after their request: 7.2 is the second attempt of request
// 7.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		x := &session{t: t, ids: map[string]AttemptID{}, names: map[AttemptID]string{}, count: map[RequestID]int{}}
		x.s = New(Options{VM: "self", Seed: 1, Audit: true})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			x.buf.Reset()
			x.options(d)
			for _, line := range strings.Split(d.Input, "\n") {
				x.runLine(line)
			}
			return x.buf.String()
		})
	})
}

// options starts a new State when the command sets limits.
func (x *session) options(d *datadriven.TestData) {
	var l Limits
	d.MaybeScanArgs(x.t, "burst", &l.RepeatBurst)
	d.MaybeScanArgs(x.t, "queue", &l.QueueItems)
	if l != (Limits{}) {
		x.s = New(Options{VM: "self", Seed: 1, Audit: true, Limits: l})
	}
}

type session struct {
	t        *testing.T
	s        *State
	out      Ready
	now      clock.Time
	buf      strings.Builder
	ids      map[string]AttemptID
	names    map[AttemptID]string
	count    map[RequestID]int
	services []catalogue.Service
}

// fields holds the words after the event of a line: plain ones and key=value
// pairs.
type fields struct {
	t     *testing.T
	plain []string
	keyed map[string]string
}

func (f fields) has(key string) bool { _, ok := f.keyed[key]; return ok }

func (f fields) int(key string) int {
	if !f.has(key) {
		return 0
	}
	n, err := strconv.Atoi(f.keyed[key])
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

func (f fields) duration(key string) time.Duration {
	if !f.has(key) {
		return 0
	}
	return parseDuration(f.t, f.keyed[key])
}

func parseDuration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (x *session) runLine(line string) {
	words := strings.Fields(line)
	f := fields{t: x.t, keyed: map[string]string{}}
	for _, w := range words[2:] {
		if k, v, ok := strings.Cut(w, "="); ok {
			f.keyed[k] = v
		} else {
			f.plain = append(f.plain, w)
		}
	}
	at := clock.Time(parseDuration(x.t, words[0]))
	if words[1] == "until" {
		for x.out.WakeAt <= at {
			x.now = x.out.WakeAt
			x.step(&Tick{})
		}
		x.now = at
		return
	}
	x.now = at
	x.step(x.event(words[1], f))
}

func (x *session) event(name string, f fields) Event {
	switch name {
	case "services":
		for _, n := range f.plain {
			s := catalogue.Service{Name: fleet.ServiceName(n), Priority: catalogue.Deferrable}
			if f.has(n) {
				s.Idempotent = strings.Contains(f.keyed[n], "idempotent")
				if strings.Contains(f.keyed[n], "interactive") {
					s.Priority = catalogue.Interactive
				}
			}
			x.services = append(x.services, s)
		}
		return &Services{List: x.services}
	case "targets":
		return &Targets{List: x.targetList(f)}
	case "peers":
		return &Peers{Count: f.int("count"), Rank: f.int("rank")}
	case "remote":
		return &RemoteLoads{List: []RemoteLoad{{
			VM: fleet.VMID(f.plain[0]), Service: fleet.ServiceName(f.plain[1]), Headroom: f.int("headroom"),
			Age: f.duration("age"), RTT: f.duration("rtt"),
		}}}
	case "health":
		return &Health{Target: fleet.TargetID(f.plain[0]), OK: f.plain[1] == "ok", InFlight: f.int("in-flight"), Slots: f.int("slots"), Cold: f.has("cold"), Age: f.duration("age")}
	case "arrive":
		return &Arrive{Req: RequestID(x.number(f.plain[0])), Service: fleet.ServiceName(f.plain[1]), Deadline: x.deadline(f), Hops: uint8(f.int("hops")), Block: uint64(f.int("block")), ExpectedWait: f.duration("expected-wait")}
	case "answered":
		id := x.attempt(f.plain[0])
		return &Answered{Req: x.request(f.plain[0]), Attempt: id, Status: max(f.int("status"), 200)}
	case "failed":
		v, ok := verdict.Parse(f.plain[1])
		if !ok {
			x.t.Fatalf("unknown verdict %q", f.plain[1])
		}
		return &Failed{Req: x.request(f.plain[0]), Attempt: x.attempt(f.plain[0]), Verdict: v, Reason: verdict.Reason(f.plain[2]), RetryAfter: f.duration("retry-after")}
	case "gone":
		return &CallerGone{Req: RequestID(x.number(f.plain[0]))}
	case "tick":
		return &Tick{}
	case "stop":
		return &Stop{}
	}
	x.t.Fatalf("unknown event %q", name)
	return nil
}

// targetList reads fields such as a1=calc:3, a1=calc:3:leaving.
func (x *session) targetList(f fields) []fleet.Target {
	var list []fleet.Target
	for _, w := range f.plain {
		p := strings.Split(w, ":")
		t := fleet.Target{ID: fleet.TargetID(p[0]), Service: fleet.ServiceName(p[1]), Slots: x.number(p[2]), Connections: 330}
		if len(p) > 3 && p[3] == "leaving" {
			t.State = fleet.Leaving
		}
		list = append(list, t)
	}
	return list
}

func (x *session) deadline(f fields) clock.Time {
	if !f.has("within") {
		return 0
	}
	return x.now.Add(f.duration("within"))
}

func (x *session) number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		x.t.Fatal(err)
	}
	return n
}

func (x *session) request(attempt string) RequestID {
	r, _, _ := strings.Cut(attempt, ".")
	return RequestID(x.number(r))
}

func (x *session) attempt(name string) AttemptID {
	id, ok := x.ids[name]
	if !ok {
		x.t.Fatalf("no attempt %q so far", name)
	}
	return id
}

// nameAttempt assigns the name of a new attempt.
func (x *session) nameAttempt(r RequestID, a AttemptID) string {
	x.count[r]++
	n := fmt.Sprintf("%d.%d", r, x.count[r])
	x.ids[n], x.names[a] = a, n
	return n
}

func (x *session) step(ev Event) {
	x.out.Reset()
	x.s.Step(x.now, ev, &x.out)
	for _, e := range x.out.Cancels {
		x.print("cancel %s%s", x.names[e.Attempt], map[bool]string{true: " and replace its connection"}[e.Replace])
	}
	for _, e := range x.out.Sends {
		x.print("send %s to %s, deadline %v%s", x.nameAttempt(e.Req, e.Attempt), e.Target, time.Duration(e.Deadline), map[bool]string{true: ", on a new connection"}[e.NewConnection])
	}
	for _, e := range x.out.Forwards {
		x.print("forward %s to %s, deadline %v, expected wait %v", x.nameAttempt(e.Req, e.Attempt), e.VM, time.Duration(e.Deadline), e.ExpectedWait.Round(time.Millisecond))
	}
	for _, e := range x.out.Delivers {
		x.print("deliver %s", x.names[e.Attempt])
	}
	for _, e := range x.out.Replies {
		x.print("reply %d: %v, %s, retry after %v", e.Req, e.Verdict, e.Reason, e.RetryAfter)
	}
	for _, e := range x.out.Probes {
		x.print("probe %s", e.Target)
	}
	for _, e := range x.out.Violations {
		x.print("VIOLATION %s: %s", e.Invariant, e.Detail)
	}
}

func (x *session) print(format string, args ...any) {
	fmt.Fprintf(&x.buf, "%v ", time.Duration(x.now))
	fmt.Fprintf(&x.buf, format+"\n", args...)
}
