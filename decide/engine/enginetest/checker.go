package enginetest

import (
	"fmt"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Work is one unit of work of a caller, whatever the number of sends.
type Work struct {
	Name       string
	Service    fleet.ServiceName
	Idempotent bool
	Runs       int
}

// Submission is the unit that a verdict applies to: all sends with one token, or
// one send without a token.
type Submission struct {
	Work   *Work
	Runs   int
	NotRun bool        // it was reported as not-run
	Parent *Submission // the forwarded submission, if this is a forward
}

// leavingSendGrace is the time after which a target that is known to be leaving
// must get no more requests.
const leavingSendGrace = 2 * time.Second

// deadlineSlack is how long after its deadline a request may be answered.
const deadlineSlack = 10 * time.Millisecond

// maxViolations is the maximum number of violations kept.
const maxViolations = 20

// Checker checks the invariants of a World and counts what happens in it.
type Checker struct {
	Violations []string
	// Steps counts the events that the engines have processed.
	Steps  uint64
	Counts Counts
	// EvenLoad is true if all callers send at the same rate. Then the moved share
	// of a shift can be checked over the answered requests.
	EvenLoad bool

	w                *World
	agreements       map[fleet.Domain]agreement
	hashes           map[uint64]uint64 // latest hash in force, by revision
	operatorRequests []*OperatorRequest
	windows          map[string]*window      // by shift
	acceptedByBase   map[entryVersion]string // ID of the accepted operation, by the version it changed
}

// Counts are the counters of a run.
type Counts struct {
	Works, Sends, Forwards, Runs     int
	Ran, NotRun, MayHaveRun, Unknown int // verdicts that callers ended up with
	Resends, Duplicates, Outcomes    int
	Shed, Applied, Operations        int
	Accepted, Faults                 int
	MaxRevision                      uint64
	// OverSlots is the largest number of requests in flight at a target beyond
	// its slots, while the entry VMs of its domain agreed on the live members.
	OverSlots int
	// ForwardedOver is the largest number of unanswered forwarded requests in a
	// domain beyond its slots.
	ForwardedOver int
	// Windows counts the windows over which the moved share of a shift was
	// measured. MovedOver is the largest excess of such a share over the cap, in
	// units of 1/catalogue.ShareUnit.
	Windows, MovedOver int
	// Moved counts the answered requests that were moved by a shift.
	Moved int
}

func newChecker(w *World) Checker {
	return Checker{
		w:              w,
		agreements:     make(map[fleet.Domain]agreement),
		hashes:         make(map[uint64]uint64),
		windows:        make(map[string]*window),
		acceptedByBase: make(map[entryVersion]string),
	}
}

// reportViolation records a violated invariant.
func (ck *Checker) reportViolation(format string, args ...any) {
	s := fmt.Sprintf("%v: %s", ck.w.Now.Sub(epoch), fmt.Sprintf(format, args...))
	ck.w.trace("VIOLATION %s", s)
	if len(ck.Violations) < maxViolations {
		ck.Violations = append(ck.Violations, s)
	}
}

// Err returns an error that lists the violations so far, or nil.
func (ck *Checker) Err() error {
	if len(ck.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("enginetest: seed %d:\n%s", ck.w.Options.Seed, strings.Join(ck.Violations, "\n"))
}

// recordRun records a run at a target and checks it.
func (ck *Checker) recordRun(t *Target, c *Submission) {
	ck.Counts.Runs++
	c.Work.Runs++
	if c.Work.Service != t.Service {
		ck.reportViolation("%s of service %s ran at %s of service %s", c.Work.Name, c.Work.Service, t.ID, t.Service)
	}
	if !c.Work.Idempotent && c.Work.Runs > 1 {
		ck.reportViolation("%s is not idempotent and ran %d times, now at %s", c.Work.Name, c.Work.Runs, t.ID)
	}
	for ; c != nil; c = c.Parent {
		c.Runs++
		if c.NotRun {
			ck.reportViolation("%s runs at %s after it was reported as not-run", c.Work.Name, t.ID)
		}
	}
}

// recordVerdict records a verdict about a submission and checks it.
func (ck *Checker) recordVerdict(by fleet.VMID, c *Submission, v verdict.Verdict, r verdict.Reason) {
	switch v {
	case verdict.NotRun:
		c.NotRun = true
		if c.Runs > 0 {
			ck.reportViolation("%s answers not-run for %s (%s), which has run %d times", by, c.Work.Name, r, c.Runs)
		}
	case verdict.Ran:
		if c.Runs == 0 {
			ck.reportViolation("%s answers ran for %s (%s), which has not run", by, c.Work.Name, r)
		}
	}
}

// recordEngineViolations records the violations that an engine reports.
func (ck *Checker) recordEngineViolations(v *VM, list []dispatch.Violation) {
	for _, x := range list {
		ck.reportViolation("%s reports %s: %s", v.Self.ID, x.Invariant, x.Detail)
	}
}

// checkSend checks a send to a target.
func (ck *Checker) checkSend(v *VM, a *attempt) {
	ck.Counts.Sends++
	t := a.target
	if at, known := v.targetsLeaving[t.ID]; known && ck.w.Now.Sub(at) > leavingSendGrace {
		ck.reportViolation("%s sends %s to %s, which the machine list has shown as leaving for %v", v.Self.ID, a.call.submission.Work.Name, t.ID, ck.w.Now.Sub(at))
	}
	if at, refused := v.targetsStopping[t.ID]; refused && ck.w.Now.Sub(at) > leavingSendGrace && ck.w.Now.Sub(at) < stoppingMemory {
		ck.reportViolation("%s sends %s to %s, which answered %v ago that it is stopping", v.Self.ID, a.call.submission.Work.Name, t.ID, ck.w.Now.Sub(at))
	}
	if t.Location != v.Location {
		ck.reportViolation("%s sends to %s, which is in another failure domain", v.Self.ID, t.ID)
	}
	ck.checkSlots(t)
}

// stoppingMemory is how long an entry VM must remember a target's answer that it
// is stopping if the machine list does not show it.
const stoppingMemory = 25 * time.Second

// checkSlots counts the requests of all entry VMs that are in flight at a
// target. It counts only requests sent since the entry VMs agree on the live
// members, because a VM without other live members may use all slots. Forwarded
// requests are limited to each VM's part of the slots, so together they must not
// exceed the slots. Other requests may use slots that the target reported as
// free, and two entry VMs may take the same one. The target refuses such
// requests; minSendsPerShed bounds their number.
func (ck *Checker) checkSlots(t *Target) {
	since, ok := ck.agreedSince(t.Location.Domain)
	if !ok {
		return
	}
	all, forwarded := 0, 0
	for _, a := range t.attempts {
		if a.sentAt < since || a.x == nil || !a.x.inProgress() {
			continue
		}
		all++
		if a.call.hops > 0 {
			forwarded++
		}
	}
	ck.Counts.OverSlots = max(ck.Counts.OverSlots, all-t.Slots)
	if forwarded > t.Slots && ck.stillAgreed(t.Location.Domain) {
		ck.reportViolation("%d forwarded requests in flight at %s of %d slots", forwarded, t.ID, t.Slots)
	}
}

// minSendsPerShed is the minimum number of sends for each one that a target
// refuses for lack of a slot.
const minSendsPerShed = 100

// checkShed checks the share of sends that targets refused for lack of a slot.
func (ck *Checker) checkShed() {
	if n := &ck.Counts; n.Sends >= minSendsChecked && n.Shed*minSendsPerShed > n.Sends {
		ck.reportViolation("targets refused %d of %d sends for lack of a slot", n.Shed, n.Sends)
	}
}

// minSendsChecked is the number of sends below which checkShed checks nothing.
const minSendsChecked = 1000

// checkForwarded checks the number of forwarded requests that a domain holds.
// Overload elsewhere must not overload this region, so the domain must not hold
// more forwarded requests than it has slots, apart from those that it is about
// to refuse.
func (ck *Checker) checkForwarded(d Location, s fleet.ServiceName) {
	since, ok := ck.agreedSince(d.Domain)
	if !ok {
		return
	}
	slots, forwarded, vms := 0, 0, 0
	for _, t := range ck.w.Targets {
		if t.Location == d && t.Service == s {
			slots += t.Slots
		}
	}
	for _, v := range ck.w.VMs {
		if v.Location != d || !v.Up {
			continue
		}
		vms++
		forwarded += v.countForwarded(s, since)
	}
	over := forwarded - slots
	ck.Counts.ForwardedOver = max(ck.Counts.ForwardedOver, over)
	if over > slots/2+vms && ck.stillAgreed(d.Domain) {
		ck.reportViolation("%s holds %d forwarded requests of %s with %d slots", d.Domain, forwarded, s, slots)
	}
}

// checkApplied checks a catalogue that comes into force at an entry VM.
func (ck *Checker) checkApplied(v *VM, c *catalogue.Catalogue) {
	ck.Counts.Applied++
	ck.Counts.MaxRevision = max(ck.Counts.MaxRevision, c.Revision)
	h, err := config.Hash(c)
	if err != nil {
		ck.reportViolation("%s applies revision %d: %v", v.Self.ID, c.Revision, err)
	}
	if c.Revision < v.revision {
		ck.reportViolation("%s applies revision %d after revision %d", v.Self.ID, c.Revision, v.revision)
	}
	if first, seen := ck.hashes[c.Revision]; seen && first != h {
		ck.reportViolation("%s applies revision %d with other content than before", v.Self.ID, c.Revision)
	}
	ck.hashes[c.Revision] = h
	v.revision = c.Revision
	for i := range c.Shifts {
		ck.checkShift(v, &c.Shifts[i])
	}
}

// checkShift checks a shift of a catalogue in force.
func (ck *Checker) checkShift(v *VM, s *catalogue.Shift) {
	if s.Share > s.Limits.MaxShare {
		ck.reportViolation("%s applies a share of %d for shift %s, whose cap is %d", v.Self.ID, s.Share, s.ID, s.Limits.MaxShare)
	}
	if s.Share > 0 && s.ApprovedBy == "" {
		ck.reportViolation("%s moves traffic for shift %s, which is not approved", v.Self.ID, s.ID)
	}
}

// checkOpen checks that no request is unanswered. It is called when all callers
// have sent nothing for longer than any deadline.
func (ck *Checker) checkOpen() {
	ck.checkShed()
	for _, v := range ck.w.VMs {
		for _, c := range v.openCalls() {
			ck.reportViolation("%s never answers %s", v.Self.ID, c.submission.Work.Name)
		}
	}
}
