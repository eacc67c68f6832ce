package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/fleet"
)

// session runs a golden session of a small fleet. Revisions are shown as r1, r2
// and so on, in the order in which they were accepted.
type session struct {
	n             *network
	names         map[uint64]string
	savedPlatform platformStore
}

// TestGoldenSessions runs the golden sessions of testdata.
func TestGoldenSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{names: map[uint64]string{0: "nothing"}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		var domains, perDomain int
		d.ScanArgs(t, "domains", &domains)
		d.ScanArgs(t, "per", &perDomain)
		s.n = newNetwork(1, domains, perDomain)
		s.nameRevision()
		return s.runAndShow(10 * time.Second)
	case "run":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		return s.runAndShow(span)
	case "write":
		v := s.n.byID[fleet.VMID(d.CmdArgs[0].Key)]
		if !s.n.write(v, d.CmdArgs[1].Key, d.HasArg("lose-answer")) {
			return "not run\n"
		}
		return fmt.Sprintf("accepted as %s\n", s.nameRevision())
	case "keep":
		s.savedPlatform = s.n.platform
		return "kept " + s.names[s.savedPlatform.cat.Revision] + "\n"
	default:
		s.injectFault(t, d)
		return "ok\n"
	}
}

// injectFault starts or ends a fault.
func (s *session) injectFault(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	switch d.Cmd {
	case "cut":
		s.n.partitions[[2]fleet.Domain{fleet.Domain(arg(0)), fleet.Domain(arg(1))}] = true
	case "cut-platform":
		s.n.domainsWithoutPlatform[fleet.Domain(arg(0))] = true
	case "platform-down":
		s.n.platformDown = true
	case "platform-back":
		s.n.platformDown = false
		s.n.rollBack(s.savedPlatform)
	case "restart":
		v := s.n.byID[fleet.VMID(arg(0))]
		s.n.kill(v)
		s.n.restart(v)
	case "heal":
		s.n.heal()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

// nameRevision returns the name of the platform's revision, and assigns one to a
// new revision.
func (s *session) nameRevision() string {
	r := s.n.platform.cat.Revision
	if s.names[r] == "" {
		s.names[r] = fmt.Sprintf("r%d", len(s.names))
	}
	return s.names[r]
}

// runAndShow runs the network for d and returns the state of each daemon.
func (s *session) runAndShow(d time.Duration) string {
	s.n.run(d)
	var b strings.Builder
	fmt.Fprintf(&b, "platform %s\n", s.names[s.n.platform.cat.Revision])
	for _, v := range s.n.daemons {
		st := v.st.Status(s.n.now)
		fmt.Fprintf(&b, "%s %s%s\n", v.id, s.names[st.Revision], flags(st))
	}
	for _, v := range s.n.violations {
		fmt.Fprintln(&b, v)
	}
	return b.String()
}

func flags(st Status) string {
	var out string
	for _, f := range []struct {
		on   bool
		text string
	}{{st.Reading, " reading"}, {st.CutOff, " cut-off"}, {st.PlatformBehind, " platform-behind"}, {!st.Ready, " not-ready"}} {
		if f.on {
			out += f.text
		}
	}
	return out
}
