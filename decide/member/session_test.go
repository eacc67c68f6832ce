package member_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// TestSessions replays the sessions in testdata/session. Each command prints
// the changes that entry VMs report during the command. The commands:
//
//	fleet regions=R domains=D members=M    starts all VMs and waits until they agree
//	run for=DURATION                       advances the clock
//	cut domain=D | from=VM to=VM           cuts a domain off, or a one-way link
//	heal                                   ends all cuts
//	stop vm=VM | start vm=VM | leave vm=VM
//	view vm=VM                             prints a VM's view of all domains
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
		s := &session{n: newNetwork(1)}
		s.n.Cut = s.cut
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type session struct {
	n          *membertest.Network
	vms        []fleet.VM
	cutDomains []fleet.Domain
	cutLinks   [][2]fleet.VMID
}

func (s *session) cut(from, to *fleet.VM) bool {
	if slices.Contains(s.cutLinks, [2]fleet.VMID{from.ID, to.ID}) {
		return true
	}
	return slices.ContainsFunc(s.cutDomains, func(d fleet.Domain) bool {
		return (from.Domain == d) != (to.Domain == d)
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	counts := changeCounts(s.n)
	switch d.Cmd {
	case "fleet":
		var r, dom, m int
		d.ScanArgs(t, "regions", &r)
		d.ScanArgs(t, "domains", &dom)
		d.ScanArgs(t, "members", &m)
		s.vms = membertest.Fleet(r, dom, m)
		startAndSettle(s.n, s.vms)
		return fmt.Sprintf("%d entry VMs, %d disagree\n", len(s.vms), len(disagreements(s.n, runningVMs(s.n))))
	case "run":
		var text string
		d.ScanArgs(t, "for", &text)
		span, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		s.n.Run(span)
	case "cut":
		s.addCut(t, d)
	case "heal":
		s.cutDomains, s.cutLinks = nil, nil
	case "stop":
		s.n.Stop(s.vm(t, d).ID)
	case "start":
		s.n.Start(s.vm(t, d), s.vms)
	case "leave":
		s.n.Step(s.n.VM(s.vm(t, d).ID), &member.Leave{})
	case "view":
		return view(s.n.VM(s.vm(t, d).ID))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return s.changes(counts)
}

func (s *session) addCut(t *testing.T, d *datadriven.TestData) {
	if d.HasArg("domain") {
		var name string
		d.ScanArgs(t, "domain", &name)
		s.cutDomains = append(s.cutDomains, fleet.Domain(name))
		return
	}
	var from, to string
	d.ScanArgs(t, "from", &from)
	d.ScanArgs(t, "to", &to)
	s.cutLinks = append(s.cutLinks, [2]fleet.VMID{fleet.VMID(from), fleet.VMID(to)})
}

func (s *session) vm(t *testing.T, d *datadriven.TestData) fleet.VM {
	var id string
	d.ScanArgs(t, "vm", &id)
	at := slices.IndexFunc(s.vms, func(vm fleet.VM) bool { return vm.ID == fleet.VMID(id) })
	if at < 0 {
		t.Fatalf("no entry VM %q", id)
	}
	return s.vms[at]
}

// changes prints the changes reported since the given counts: the instant, the
// reporting VM and the state of the other one, in alphabetical order.
func (s *session) changes(counts map[fleet.VMID]int) string {
	var lines []string
	for _, entry := range s.n.VMs {
		for _, c := range entry.Changes[counts[entry.VM.ID]:] {
			at := c.At.Sub(membertest.Epoch).Round(time.Millisecond)
			lines = append(lines, fmt.Sprintf("%8s %s says %s is %s", at, entry.VM.ID, c.VM.ID, c.VM.State))
		}
	}
	slices.SortStableFunc(lines, strings.Compare)
	if len(lines) == 0 {
		return "no change\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func view(n *membertest.EntryVM) string {
	var b strings.Builder
	for _, d := range n.State.Domains(nil) {
		reach := "reachable"
		if !d.Reachable {
			reach = "unreachable"
		}
		fmt.Fprintf(&b, "%s/%s %s live=%d leaving=%d", d.Region, d.Domain, reach, d.Live, d.Leaving)
		for _, vm := range d.VMs {
			fmt.Fprintf(&b, " %s", vm.ID)
		}
		b.WriteString("\n")
	}
	return b.String()
}
