package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/verdict"
)

// A request that ends the targets that run it comes again at any entry VM. One
// end is told to the fingerprint's arbiters, which are the same for all VMs and
// count what each has seen; from the second on all VMs are told. With each end
// told to all, a crash of two hundred targets would have 300 VMs exchange a
// hundred thousand messages.

const (
	// arbiters is how many VMs count the ends of a fingerprint: one may be cut
	// off, or end, and forget.
	arbiters = 2
	// suspectReturn is when the caller of a request comes back that may not run
	// beside another one like it: when that one has been answered.
	suspectReturn = 500 * time.Millisecond
	// trialSends is how often a trial is sent that targets refuse to run.
	trialSends = 2
	// expireEvery is how often quarantines that are over are looked for. They
	// last a day.
	expireEvery = time.Hour
)

// arbitersOf returns the VMs that count the ends of a fingerprint: this one alone
// while it knows of none.
func (r *Reducer) arbitersOf(f quarantine.Fingerprint) []fleet.VMID {
	line := r.strongInOrder(anyRegion, string(f[:]))
	if len(line) == 0 {
		return []fleet.VMID{r.opts.Self}
	}
	return line[:min(len(line), arbiters)]
}

// isArbiter reports whether this VM counts the ends of a fingerprint.
func (r *Reducer) isArbiter(f quarantine.Fingerprint) bool {
	return slices.Contains(r.arbitersOf(f), r.opts.Self)
}

// leads reports whether this VM is the one that lets trials through.
func (r *Reducer) leads(f quarantine.Fingerprint) bool {
	line := r.arbitersOf(f)
	return len(line) > 0 && line[0] == r.opts.Self
}

// keptAway reports whether q must not be sent to a target, and when its caller
// may come back.
func (r *Reducer) keptAway(now clock.Time, q *request) (time.Duration, bool) {
	if !r.on(Quarantining) {
		return 0, false
	}
	rec := r.quarantine.Find(now, q.fingerprint)
	switch {
	case rec == nil || rec.Ends() < quarantine.Suspected:
		return 0, false
	case len(r.requestsWith(q.fingerprint)) > 0:
		return max(suspectReturn, rec.TrialAt().Sub(now)), true
	case !rec.Quarantined():
		return 0, false
	case now.Before(rec.TrialAt()):
		return rec.TrialAt().Sub(now), true
	case !r.leads(q.fingerprint):
		return suspectReturn, true
	}
	q.trial = true
	return 0, false
}

// noteTrial counts a request that was sent although its fingerprint is in
// quarantine, once it may have run. What no target has begun to run puts none at
// risk, and says nothing.
func (r *Reducer) noteTrial(now clock.Time, q *request) {
	if !q.trial || q.counted {
		return
	}
	q.counted = true
	c := r.quarantine.Tried(now, q.fingerprint)
	if c.Changed {
		r.tellAll(&c.Record)
		r.report(&c.Record)
	}
}

// mayBeDeadly reports whether q was at the end of a target, or may have been.
func (r *Reducer) mayBeDeadly(now clock.Time, q *request) bool {
	return r.on(Quarantining) && (q.losses > 0 || r.quarantine.Ends(now, q.fingerprint) > 0)
}

// mayTryAnother reports whether one more target may be put at risk for q after
// a send has ended. Its caller may come again, to whichever VM; by then all know
// what the earlier sends have shown.
func (r *Reducer) mayTryAnother(now clock.Time, q *request) bool {
	switch {
	case !r.on(Quarantining):
		return true
	case q.verdict == verdict.NotRun:
		return !q.trial || q.sends < trialSends // no target was put at risk yet
	}
	ends := r.quarantine.Ends(now, q.fingerprint)
	return ends < quarantine.Suspected && (ends == 0 || q.losses < quarantine.Suspected)
}

// endedUnder notes that the start of t has ended while a request was under way
// there.
func (r *Reducer) endedUnder(now clock.Time, t *targetState, l lostRequest) {
	if l.fingerprint == (quarantine.Fingerprint{}) || !r.on(Quarantining) {
		return
	}
	c := r.quarantine.Ended(now, l.fingerprint, l.route, quarantine.End{Start: t.start(), Sent: l.sent, At: l.at})
	if c.Changed {
		r.announce(&c.Record)
		r.changed(now, &c)
	}
}

// announce tells those who need it what this VM has seen.
func (r *Reducer) announce(rec *quarantine.Record) {
	if len(rec.Ended) >= quarantine.Suspected {
		r.tellAll(rec)
		return
	}
	for _, id := range r.arbitersOf(rec.Fingerprint) {
		if id != r.opts.Self {
			r.tell(id, rec)
		}
	}
}

func (r *Reducer) tellAll(rec *quarantine.Record) {
	for i := range r.members {
		if m := &r.members[i]; m.ID != r.opts.Self {
			r.tell(m.ID, rec)
		}
	}
}

// heardQuarantine takes a record of another entry VM. An arbiter passes on what
// it has put together.
func (r *Reducer) heardQuarantine(now clock.Time, m *quarantine.Record) {
	c := r.quarantine.Merge(now, m)
	if !c.Changed {
		return
	}
	if len(c.Record.Ended) > len(m.Ended) && r.isArbiter(c.Record.Fingerprint) {
		r.announce(&c.Record)
	}
	r.changed(now, &c)
}

// quarantineRead takes what the store says. An entry that is taken out lifts
// the quarantine: operators have done so, or an arbiter after an answer.
func (r *Reducer) quarantineRead(now clock.Time, ev *QuarantineRead) {
	var c quarantine.Change
	if ev.Record == nil {
		c = r.quarantine.Answered(now, ev.Fingerprint)
	} else {
		c = r.quarantine.Merge(now, ev.Record)
	}
	if c.Changed {
		r.enforceLater(now, &c.Record)
	}
	if ev.Record != nil && !r.isKept(now, ev.Fingerprint) {
		// Two arbiters may write in an order that leaves what is over: entry VMs
		// that start would believe it.
		r.report(&quarantine.Record{Fingerprint: ev.Fingerprint})
	}
}

// isKept reports whether a fingerprint is in quarantine.
func (r *Reducer) isKept(now clock.Time, f quarantine.Fingerprint) bool {
	rec := r.quarantine.Find(now, f)
	return rec != nil && rec.Quarantined()
}

// clearQuarantine notes that a request with the fingerprint was answered.
func (r *Reducer) clearQuarantine(now clock.Time, f quarantine.Fingerprint) {
	if r.quarantine.Len() == 0 {
		return
	}
	c := r.quarantine.Answered(now, f)
	if c.Changed {
		r.announce(&c.Record)
		r.changed(now, &c)
	}
}

// changed reports a change that concerns a quarantine, and has it enforced.
func (r *Reducer) changed(now clock.Time, c *quarantine.Change) {
	if c.Record.Quarantined() || c.Lifted() {
		r.report(&c.Record)
	}
	r.enforceLater(now, &c.Record)
}

// enforceLater has a quarantine enforced at the end of the step, as the step may
// be about one of the requests.
func (r *Reducer) enforceLater(now clock.Time, rec *quarantine.Record) {
	if !rec.Quarantined() {
		return
	}
	r.enforcing = append(r.enforcing, rec.Fingerprint)
	r.expireLater(now)
}

// expireLater has quarantines looked through for those that are over.
func (r *Reducer) expireLater(now clock.Time) {
	if !r.expiring {
		r.expiring = true
		r.timers.add(timer{at: now.Add(expireEvery), purpose: dueQuarantine})
	}
}

// enforce ends the searches of requests whose fingerprints have come into
// quarantine. What runs already may still show that it is innocent.
func (r *Reducer) enforce(now clock.Time) {
	for _, f := range r.enforcing {
		if !r.isKept(now, f) {
			continue
		}
		room := r.quarantine.Find(now, f).TrialAt().Sub(now)
		for _, q := range r.requestsWith(f) {
			if q.trial {
				continue
			}
			r.stopSearch(now, q)
			if len(q.running) == 0 {
				q.reason, q.room = verdict.ReasonQuarantined, room
				r.giveUp(now, q)
			}
		}
	}
	r.enforcing = r.enforcing[:0]
}

// requestsWith returns the requests with a fingerprint, in their order.
func (r *Reducer) requestsWith(f quarantine.Fingerprint) []*request {
	var list []*request
	for _, q := range r.requests {
		if q.fingerprint == f {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}

// report writes a change for the log, and for the store if that is this VM's
// part.
func (r *Reducer) report(rec *quarantine.Record) {
	arbiter := r.isArbiter(rec.Fingerprint)
	kept := rec.Quarantined()
	r.out.Quarantines = append(r.out.Quarantines, Quarantine{
		Record: *rec, Keep: arbiter && kept, Remove: arbiter && !kept,
	})
}

// expireQuarantine forgets what is over, and takes it out of the store.
func (r *Reducer) expireQuarantine(now clock.Time) {
	for _, f := range r.quarantine.Expire(now) {
		r.report(&quarantine.Record{Fingerprint: f})
	}
	r.expiring = false
	if r.quarantine.Quarantined() > 0 {
		r.expireLater(now)
	}
}
