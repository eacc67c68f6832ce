package shift

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// TestSessions runs the golden sessions under testdata in a world of three
// regions with the runners of two processes, a and b.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, s.run)
		s.checkInvariants(t)
	})
}

type session struct {
	w     *world
	start clock.Time
	text  strings.Builder
}

func (s *session) checkInvariants(t *testing.T) {
	for name, k := range s.w.runners {
		if n, _ := k.r.Violations(); n > 0 {
			t.Errorf("runner %s broke %d invariants", name, n)
		}
	}
	if s.w.refused != nil {
		t.Errorf("the catalogue refused a write: %v", s.w.refused)
	}
}

func (s *session) log(format string, args ...any) {
	fmt.Fprintf(&s.text, "%4.0fs ", s.w.now.Sub(s.start).Seconds())
	fmt.Fprintf(&s.text, format+"\n", args...)
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	s.text.Reset()
	switch d.Cmd {
	case "world":
		s.world(t, d)
	case "shift":
		s.shift(t, d)
	case "set":
		s.set(t, d)
	case "run":
		s.w.run(durationArg(t, d, "for"))
		s.summary()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return s.text.String()
}

func (s *session) world(t *testing.T, d *datadriven.TestData) {
	load := 60
	d.MaybeScanArgs(t, "load", &load)
	s.w = newWorld(1, worldBlocksPerRegion, float64(load)/100, 40)
	s.w.log = s.log
	s.start = s.w.now
	s.w.runner("a")
	s.w.runner("b")
	s.w.run(15 * time.Second)
	s.start = s.w.now
	s.text.Reset()
	s.summary()
}

func (s *session) shift(t *testing.T, d *datadriven.TestData) {
	var id, from, to string
	maxShare, step, headroom := catalogue.ShareUnit, 1000, 0
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "from", &from)
	d.MaybeScanArgs(t, "to", &to)
	d.MaybeScanArgs(t, "cap", &maxShare)
	d.MaybeScanArgs(t, "step", &step)
	d.MaybeScanArgs(t, "headroom", &headroom)
	s.w.startShift(catalogue.Shift{ID: id, From: fleet.Region(from), To: fleet.Region(to), Limits: catalogue.Limits{
		MaxShare: catalogue.Share(maxShare), Step: catalogue.Share(step), MinHeadroom: catalogue.Share(headroom),
	}})
}

// set changes faults of the world and the holder of the lease.
func (s *session) set(t *testing.T, d *datadriven.TestData) {
	for _, arg := range d.CmdArgs {
		v := arg.Vals[0]
		switch key, rest, _ := strings.Cut(arg.Key, "-"); key {
		case "platform":
			s.w.platform = v == "up"
		case "lease":
			s.w.lease = v
		case "cold":
			fmt.Sscan(v, &s.w.cold)
		case "paused":
			s.w.runner(rest).paused = v == "yes"
		case "delay":
			s.w.runner(rest).delay = parseDuration(t, v)
		case "answers":
			s.w.runner(rest).verdict = map[string]verdict.Verdict{"lost": verdict.MayHaveRun, "come": verdict.Ran}[v]
		case "heavy":
			var weight float64
			fmt.Sscan(v, &weight)
			s.setHeavyBlock(rest, weight)
		default:
			s.setRegion(t, key, rest, v)
		}
	}
}

func (s *session) setRegion(t *testing.T, name, what, v string) {
	for _, r := range s.w.regions {
		if string(r.name) != name {
			continue
		}
		switch what {
		case "dead":
			r.dead = v == "yes"
		case "silent":
			r.silent = 0
			if v == "yes" {
				r.silent = s.w.now
			}
		case "errors":
			fmt.Sscan(v, &r.errors)
		default:
			t.Fatalf("unknown setting %q", what)
		}
		return
	}
	t.Fatalf("unknown region %q", name)
}

// setHeavyBlock gives the block of attiki with the lowest position in the shift
// the given part of its region's traffic.
func (s *session) setHeavyBlock(id string, weight float64) {
	var lowest *worldBlock
	rest := 0.0
	for _, b := range s.w.blocks {
		if b.home != 0 {
			continue
		}
		rest += b.weight
		if lowest == nil || Position(id, b.hash) < Position(id, lowest.hash) {
			lowest = b
		}
	}
	lowest.weight = (rest - lowest.weight) * weight / (1 - weight)
}

func (s *session) summary() {
	var parts []string
	for _, r := range s.w.regions {
		parts = append(parts, fmt.Sprintf("%s %.0f%% (peak %.0f%%)", r.name, 100*r.load/r.capacity, 100*r.peak))
		r.peak = 0
	}
	for _, c := range s.w.cat.Shifts {
		parts = append(parts, fmt.Sprintf("%s %s %d, %.1f%% moved", c.ID, c.State, c.Share, 100*s.w.movedBy(c.ID)))
	}
	s.log("load: %s", strings.Join(parts, "; "))
}

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var v string
	d.ScanArgs(t, key, &v)
	return parseDuration(t, v)
}

func parseDuration(t *testing.T, v string) time.Duration {
	out, err := time.ParseDuration(v)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
