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

// Work is one thing that a caller wants done, whatever it takes.
type Work struct {
	Name       string
	Service    fleet.ServiceName
	Idempotent bool
	Runs       int
}

// Submission is what a verdict speaks of.
type Submission struct {
	Work   *Work
	Runs   int
	NotRun bool        // somebody was told so
	Parent *Submission // that a forward serves
}

// leavingSendGrace is the time after which a target known to be leaving must get no
// more work.
const leavingSendGrace = 2 * time.Second

// deadlineSlack is how much later than its deadline a request may be answered.
const deadlineSlack = 10 * time.Millisecond

// maxViolations bounds what is kept of a run that has gone wrong.
const maxViolations = 20

// Checker hold what must be true of a World, and what has happened in it.
type Checker struct {
	Violations []string
	// Steps counts the events that engines have stepped.
	Steps  uint64
	Counts Counts
	// EvenLoad says that callers send evenly, so that the share of a shift can be
	// asserted over the requests they have answers to.
	EvenLoad bool

	w                *World
	agreements       map[fleet.Domain]agreement
	hashes           map[uint64]uint64 // hash first seen in force, by revision
	operatorRequests []*OperatorRequest
	windows          map[string]*window      // by shift
	acceptedByBase   map[entryVersion]string // operation accepted, by what it was based on
}

// Counts are what a run reports about itself.
type Counts struct {
	Works, Sends, Forwards, Runs     int
	Ran, NotRun, MayHaveRun, Unknown int // what callers were left with
	Resends, Duplicates, Outcomes    int
	Shed, Applied, Operations        int
	Accepted, Faults                 int
	MaxRevision                      uint64
	// OverSlots is the most requests that entry VMs had in flight at a target
	// beyond its slots while they agreed on who they are.
	OverSlots int
	// ForwardedOver is the most forwarded requests in hand in a domain
	// beyond its slots.
	ForwardedOver int
	// Windows counts the windows in which answered requests of a shift were
	// counted. MovedOver is the most that the moved share of one was above the
	// cap, in parts of catalogue.ShareUnit.
	Windows, MovedOver int
	// Moved counts the answered requests that a shift has moved.
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

// reportViolation records a broken invariant.
func (b *Checker) reportViolation(format string, args ...any) {
	s := fmt.Sprintf("%v: %s", b.w.Now.Sub(epoch), fmt.Sprintf(format, args...))
	b.w.trace("VIOLATION %s", s)
	if len(b.Violations) < maxViolations {
		b.Violations = append(b.Violations, s)
	}
}

// Err returns the violations so far, or nil.
func (b *Checker) Err() error {
	if len(b.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("enginetest: seed %d:\n%s", b.w.Options.Seed, strings.Join(b.Violations, "\n"))
}

// recordRun books a run at a target.
func (b *Checker) recordRun(t *Target, c *Submission) {
	b.Counts.Runs++
	c.Work.Runs++
	if c.Work.Service != t.Service {
		b.reportViolation("%s of %s ran at %s of %s", c.Work.Name, c.Work.Service, t.ID, t.Service)
	}
	if !c.Work.Idempotent && c.Work.Runs > 1 {
		b.reportViolation("%s is not idempotent and ran %d times, now at %s", c.Work.Name, c.Work.Runs, t.ID)
	}
	for ; c != nil; c = c.Parent {
		c.Runs++
		if c.NotRun {
			b.reportViolation("%s runs at %s after somebody was told not-run", c.Work.Name, t.ID)
		}
	}
}

// recordVerdict books a verdict about a claim.
func (b *Checker) recordVerdict(by fleet.VMID, c *Submission, v verdict.Verdict, r verdict.Reason) {
	switch v {
	case verdict.NotRun:
		c.NotRun = true
		if c.Runs > 0 {
			b.reportViolation("%s says %s not-run (%s), and it has run %d times", by, c.Work.Name, r, c.Runs)
		}
	case verdict.Ran:
		if c.Runs == 0 {
			b.reportViolation("%s says %s ran (%s), and it has not", by, c.Work.Name, r)
		}
	}
}

// recordEngineViolations books what an engine says of itself.
func (b *Checker) recordEngineViolations(v *VM, list []dispatch.Violation) {
	for _, x := range list {
		b.reportViolation("%s reports %s: %s", v.Self.ID, x.Invariant, x.Detail)
	}
}

// checkSend checks a send to a target.
func (b *Checker) checkSend(v *VM, a *attempt) {
	b.Counts.Sends++
	t := a.target
	if at, known := v.targetsLeaving[t.ID]; known && b.w.Now.Sub(at) > leavingSendGrace {
		b.reportViolation("%s sends %s to %s, known to leave for %v", v.Self.ID, a.call.submission.Work.Name, t.ID, b.w.Now.Sub(at))
	}
	if at, refused := v.targetsStopping[t.ID]; refused && b.w.Now.Sub(at) > leavingSendGrace && b.w.Now.Sub(at) < stoppingMemory {
		b.reportViolation("%s sends %s to %s, which said it is leaving %v ago", v.Self.ID, a.call.submission.Work.Name, t.ID, b.w.Now.Sub(at))
	}
	if t.Location != v.Location {
		b.reportViolation("%s sends to %s of another failure domain", v.Self.ID, t.ID)
	}
	b.checkSlots(t)
}

// stoppingMemory is how long a target's word that it is leaving must hold for
// each entry VM that has heard it, if the list does not say so.
const stoppingMemory = 25 * time.Second

// checkSlots counts what all entry VMs together have in flight at a target.
// The count begins when they agree on who they are, as each may use all slots
// while it believes that it is alone. Forwarded requests never use more than
// the parts that the entry VMs have divided the slots into. The others may use
// slots that the target reported free, and two entry VMs may take the same
// one: what comes of that is refused by the target, and maxShed bounds it.
func (b *Checker) checkSlots(t *Target) {
	since, ok := b.agreedSince(t.Location.Domain)
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
	b.Counts.OverSlots = max(b.Counts.OverSlots, all-t.Slots)
	if forwarded > t.Slots && b.stillAgreed(t.Location.Domain) {
		b.reportViolation("%d forwarded requests in flight at %s of %d slots", forwarded, t.ID, t.Slots)
	}
}

// minSendsPerShed is the largest part of the sends that targets may refuse for lack of
// a slot, as 1/maxShed.
const minSendsPerShed = 100

// checkShed bounds what targets have refused.
func (b *Checker) checkShed() {
	if n := &b.Counts; n.Sends >= minSendsChecked && n.Shed*minSendsPerShed > n.Sends {
		b.reportViolation("targets refused %d of %d sends for lack of a slot", n.Shed, n.Sends)
	}
}

// minSendsChecked is the least number of sends that a share is taken of.
const minSendsChecked = 1000

// checkForwarded counts the forwarded requests that a domain has admitted. A
// region must not be overloaded because others send it what they can't bear,
// so the domain holds no more of them than it has slots, but for those about
// to be refused.
func (b *Checker) checkForwarded(d Location, s fleet.ServiceName) {
	since, ok := b.agreedSince(d.Domain)
	if !ok {
		return
	}
	slots, held, vms := 0, 0, 0
	for _, t := range b.w.Targets {
		if t.Location == d && t.Service == s {
			slots += t.Slots
		}
	}
	for _, v := range b.w.VMs {
		if v.Location != d || !v.Up {
			continue
		}
		vms++
		held += v.countForwarded(s, since)
	}
	over := held - slots
	b.Counts.ForwardedOver = max(b.Counts.ForwardedOver, over)
	if over > slots/2+vms && b.stillAgreed(d.Domain) {
		b.reportViolation("%s holds %d forwarded requests of %s with %d slots", d.Domain, held, s, slots)
	}
}

// checkApplied checks a catalogue that comes into force.
func (b *Checker) checkApplied(v *VM, c *catalogue.Catalogue) {
	b.Counts.Applied++
	b.Counts.MaxRevision = max(b.Counts.MaxRevision, c.Revision)
	h, err := config.Hash(c)
	if err != nil {
		b.reportViolation("%s applies revision %d: %v", v.Self.ID, c.Revision, err)
	}
	if c.Revision < v.revision {
		b.reportViolation("%s goes back from revision %d to %d", v.Self.ID, v.revision, c.Revision)
	}
	if first, seen := b.hashes[c.Revision]; seen && first != h {
		b.reportViolation("%s holds other content at revision %d", v.Self.ID, c.Revision)
	}
	b.hashes[c.Revision] = h
	v.revision = c.Revision
	for i := range c.Shifts {
		b.checkShift(v, &c.Shifts[i])
	}
}

// checkShift checks what a catalogue in force says of a shift.
func (b *Checker) checkShift(v *VM, s *catalogue.Shift) {
	if s.Share > s.Limits.MaxShare {
		b.reportViolation("%s moves %d by %s, whose cap is %d", v.Self.ID, s.Share, s.ID, s.Limits.MaxShare)
	}
	if s.Share > 0 && s.ApprovedBy == "" {
		b.reportViolation("%s moves traffic by %s, which nobody approved", v.Self.ID, s.ID)
	}
}

// checkOpen checks that nothing is left without an answer once all callers
// have been silent for longer than any deadline.
func (b *Checker) checkOpen() {
	b.checkShed()
	for _, v := range b.w.VMs {
		for _, c := range v.openCalls() {
			b.reportViolation("%s never answers %s", v.Self.ID, c.submission.Work.Name)
		}
	}
}
