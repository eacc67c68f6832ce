package token

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// session is the state of a golden session: ledgers by VMID, tokens by name.
type session struct {
	ledgers map[fleet.VMID]*Ledger
	tokens  map[string]string
	ids     map[string]ID
}

// TestSessions runs the golden sessions under testdata.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{ledgers: map[fleet.VMID]*Ledger{}, tokens: map[string]string{}, ids: map[string]ID{}}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	var vm, tok, at, expiry, result string
	var inc, answer, capacity int
	d.MaybeScanArgs(t, "vm", &vm)
	d.MaybeScanArgs(t, "inc", &inc)
	d.MaybeScanArgs(t, "tok", &tok)
	d.MaybeScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "expiry", &expiry)
	d.MaybeScanArgs(t, "verdict", &result)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "capacity", &capacity)
	now := instant(t, at)
	l := s.ledgers[fleet.VMID(vm)]
	switch d.Cmd {
	case "start":
		o := Options{Capacity: capacity}
		s.ledgers[fleet.VMID(vm)] = NewLedger(testKey, fleet.VMID(vm), fleet.Incarnation(inc), o)
		return "ok\n"
	case "mint":
		n := nonce(uint64(len(s.tokens)))
		s.tokens[tok] = Mint(testKey, fleet.VMID(vm), fleet.Incarnation(inc), n, instant(t, expiry))
		return "ok\n"
	case "send":
		a := l.Admit(now, s.tokens[tok])
		if a.Status == New {
			s.ids[tok] = a.ID
		}
		return describe(a)
	case "ask":
		return describe(l.Outcome(now, s.tokens[tok]))
	case "finish":
		v, ok := verdict.Parse(result)
		if !ok {
			t.Fatalf("verdict %q", result)
		}
		return fmt.Sprintf("recorded=%v\n", l.Finish(now, s.ids[tok], v, answer))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func instant(t *testing.T, s string) clock.Time {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return at(d)
}

func describe(a Admission) string {
	var b strings.Builder
	b.WriteString(a.Status.String())
	if a.Status == New {
		return b.String() + ": may run\n"
	}
	fmt.Fprintf(&b, ": %s", a.Verdict)
	if a.Pending {
		b.WriteString(", still at work")
	}
	if a.Answer != 0 {
		fmt.Fprintf(&b, ", answered %d", a.Answer)
	}
	if a.VM != "" {
		fmt.Fprintf(&b, ", ask %s incarnation %d", a.VM, a.Incarnation)
	}
	if a.Lost {
		b.WriteString(", its record is lost")
	}
	if a.RetryAfter > 0 {
		fmt.Fprintf(&b, ", again in %s", a.RetryAfter)
	}
	return b.String() + "\n"
}
