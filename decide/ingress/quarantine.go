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

// A request that crashes the targets that run it may arrive again at any entry VM.
// The first crash is reported to the arbiters of the request's fingerprint, which
// are the same for all VMs and combine the crashes that each VM has observed; from
// the second crash on, all VMs are notified. If every crash were reported to all,
// a crash of two hundred targets would make 300 VMs exchange a hundred thousand
// messages.

const (
	// arbiterCount is how many VMs count the crashes of a fingerprint: one may be
	// cut off, or terminate and lose its state.
	arbiterCount = 2
	// suspectRetryAfter is the retry delay for a request that may not run at the
	// same time as another one with its content: about the time until that one is
	// answered.
	suspectRetryAfter = 500 * time.Millisecond
	// maxTrialSends is how often a trial is sent if targets refuse to run it.
	maxTrialSends = 2
	// expiryInterval is the time between checks for expired quarantines. A
	// quarantine lasts a day.
	expiryInterval = time.Hour
)

// arbitersOf returns the VMs that count the crashes of a fingerprint: only this
// one while it knows no members.
func (r *Reducer) arbitersOf(f quarantine.Fingerprint) []fleet.VMID {
	order := r.strongOrder(anyRegion, string(f[:]))
	if len(order) == 0 {
		return []fleet.VMID{r.opts.Self}
	}
	return order[:min(len(order), arbiterCount)]
}

// isArbiter reports whether this VM counts the crashes of a fingerprint.
func (r *Reducer) isArbiter(f quarantine.Fingerprint) bool {
	return slices.Contains(r.arbitersOf(f), r.opts.Self)
}

// admitsTrials reports whether this VM is the one that admits trials of a
// fingerprint: requests that are let through although it is in quarantine.
func (r *Reducer) admitsTrials(f quarantine.Fingerprint) bool {
	order := r.arbitersOf(f)
	return len(order) > 0 && order[0] == r.opts.Self
}

// quarantineDelay reports whether q must not be sent to a target, and after which
// time its caller may retry.
func (r *Reducer) quarantineDelay(now clock.Time, q *request) (time.Duration, bool) {
	if !r.on(Quarantining) {
		return 0, false
	}
	rec := r.quarantine.Find(now, q.fingerprint)
	switch {
	case rec == nil || rec.Ends() < quarantine.SuspectThreshold:
		return 0, false
	case len(r.requestsWith(q.fingerprint)) > 0:
		return max(suspectRetryAfter, rec.TrialAt().Sub(now)), true
	case !rec.Quarantined():
		return 0, false
	case now.Before(rec.TrialAt()):
		return rec.TrialAt().Sub(now), true
	case !r.admitsTrials(q.fingerprint):
		return suspectRetryAfter, true
	}
	q.trial = true
	return 0, false
}

// countTrial records a request that was sent although its fingerprint is in
// quarantine, once it may have run. A request that no target has started to run
// puts none at risk and is no evidence.
func (r *Reducer) countTrial(now clock.Time, q *request) {
	if !q.trial || q.trialCounted {
		return
	}
	q.trialCounted = true
	c := r.quarantine.RecordTrial(now, q.fingerprint)
	if c.Changed {
		r.broadcast(&c.Record)
		r.reportQuarantine(&c.Record)
	}
}

// mayCrashTarget reports whether q was under way at a target that crashed, or may
// have been.
func (r *Reducer) mayCrashTarget(now clock.Time, q *request) bool {
	return r.on(Quarantining) && (q.lostConnections > 0 || r.quarantine.Ends(now, q.fingerprint) > 0)
}

// mayRiskTarget reports whether q may be sent to another target, which it may
// crash, after a send has ended. If not, its caller may retry at any VM; by then
// all VMs know of the crashes so far.
func (r *Reducer) mayRiskTarget(now clock.Time, q *request) bool {
	switch {
	case !r.on(Quarantining):
		return true
	case q.verdict == verdict.NotRun:
		return !q.trial || q.sends+q.notReached < maxTrialSends // no target was put at risk yet
	}
	ends := r.quarantine.Ends(now, q.fingerprint)
	return ends < quarantine.SuspectThreshold && (ends == 0 || q.lostConnections < quarantine.SuspectThreshold)
}

// recordTermination records that this instance of t has terminated while a request
// was under way there.
func (r *Reducer) recordTermination(now clock.Time, t *targetState, l lostRequest) {
	if l.fingerprint == (quarantine.Fingerprint{}) || !r.on(Quarantining) {
		return
	}
	c := r.quarantine.RecordEnd(now, l.fingerprint, l.route, quarantine.End{Start: t.instance(), Sent: l.sent, At: l.at})
	if c.Changed {
		if c.Record.Ends() > 0 {
			r.announce(&c.Record)
		} else {
			r.notifyArbiters(&c.Record) // answered since
		}
		r.quarantineChanged(now, &c)
	}
}

// announce sends a record to the VMs that need it.
func (r *Reducer) announce(rec *quarantine.Record) {
	if len(rec.Ended) >= quarantine.SuspectThreshold {
		r.broadcast(rec)
		return
	}
	r.notifyArbiters(rec)
}

// notifyArbiters sends a record to the arbiters of its fingerprint.
func (r *Reducer) notifyArbiters(rec *quarantine.Record) {
	for _, id := range r.arbitersOf(rec.Fingerprint) {
		if id != r.opts.Self {
			r.sendMessage(id, rec)
		}
	}
}

func (r *Reducer) broadcast(rec *quarantine.Record) {
	for i := range r.members {
		if m := &r.members[i]; m.ID != r.opts.Self {
			r.sendMessage(m.ID, rec)
		}
	}
}

// mergeQuarantine merges a record of another entry VM. An arbiter forwards the
// record if the merge has added crashes or cleared some. Another VM that has answered
// the content since notifies only the arbiters: a content that is requested often is
// answered by all VMs.
func (r *Reducer) mergeQuarantine(now clock.Time, m *quarantine.Record) {
	c := r.quarantine.Merge(now, m)
	if !c.Changed {
		return
	}
	switch arbiter := r.isArbiter(c.Record.Fingerprint); {
	case arbiter && (len(c.Record.Ended) > len(m.Ended) || c.Cleared):
		r.announce(&c.Record)
	case c.Answered:
		r.notifyArbiters(&c.Record)
	}
	r.quarantineChanged(now, &c)
}

// applyStoredQuarantine applies the store's entry for a fingerprint. A removed
// entry lifts the quarantine: it was removed by operators, or by an arbiter after
// an answer.
func (r *Reducer) applyStoredQuarantine(now clock.Time, ev *QuarantineRead) {
	var c quarantine.Change
	if ev.Record == nil {
		c = r.quarantine.RecordAnswer(now, ev.Fingerprint)
	} else {
		c = r.quarantine.Merge(now, ev.Record)
	}
	if c.Answered {
		r.notifyArbiters(&c.Record)
	}
	if c.Changed {
		r.scheduleEnforcement(now, &c.Record)
	}
	if ev.Record != nil && !r.isQuarantined(now, ev.Fingerprint) {
		// Two arbiters may write in an order that leaves an expired entry, which
		// newly started entry VMs would apply.
		r.reportQuarantine(&quarantine.Record{Fingerprint: ev.Fingerprint})
	}
}

// restoreQuarantines writes entries again that the store has lost, if this VM is an
// arbiter of theirs.
func (r *Reducer) restoreQuarantines(now clock.Time, ev *QuarantinesLost) {
	for _, f := range ev.Fingerprints {
		rec := r.quarantine.Find(now, f)
		if rec == nil {
			rec = &quarantine.Record{Fingerprint: f}
		}
		if r.isArbiter(f) {
			r.reportQuarantine(rec)
		}
	}
}

// isQuarantined reports whether a fingerprint is in quarantine.
func (r *Reducer) isQuarantined(now clock.Time, f quarantine.Fingerprint) bool {
	rec := r.quarantine.Find(now, f)
	return rec != nil && rec.Quarantined()
}

// clearQuarantine records that a request with the fingerprint was answered.
func (r *Reducer) clearQuarantine(now clock.Time, f quarantine.Fingerprint) {
	if f == (quarantine.Fingerprint{}) || !r.on(Quarantining) {
		return
	}
	c := r.quarantine.RecordAnswer(now, f)
	if c.Changed {
		r.announce(&c.Record)
		r.quarantineChanged(now, &c)
	}
}

// quarantineChanged reports a change that concerns a quarantine, and schedules its
// enforcement.
func (r *Reducer) quarantineChanged(now clock.Time, c *quarantine.Change) {
	if c.Record.Quarantined() || c.Lifted() {
		r.reportQuarantine(&c.Record)
	}
	r.scheduleEnforcement(now, &c.Record)
}

// scheduleEnforcement enforces a quarantine at the end of the step, because the
// current event may concern one of the requests.
func (r *Reducer) scheduleEnforcement(now clock.Time, rec *quarantine.Record) {
	if !rec.Quarantined() {
		return
	}
	r.toEnforce = append(r.toEnforce, rec.Fingerprint)
	r.scheduleExpiry(now)
}

// scheduleExpiry sets the timer that checks for expired quarantines.
func (r *Reducer) scheduleExpiry(now clock.Time) {
	if !r.expiryScheduled {
		r.expiryScheduled = true
		r.timers.add(timer{at: now.Add(expiryInterval), purpose: dueQuarantine})
	}
}

// enforce ends the searches of requests whose fingerprints have come into
// quarantine. Running requests continue: their answers may still prove them
// harmless.
func (r *Reducer) enforce(now clock.Time) {
	for _, f := range r.toEnforce {
		if !r.isQuarantined(now, f) {
			continue
		}
		wait := r.quarantine.Find(now, f).TrialAt().Sub(now)
		for _, q := range r.requestsWith(f) {
			if q.trial {
				continue
			}
			r.cancelSearch(now, q)
			if len(q.running) == 0 {
				q.reason, q.freeAfter = verdict.ReasonQuarantined, wait
				r.refuse(now, q)
			}
		}
	}
	r.toEnforce = r.toEnforce[:0]
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

// reportQuarantine emits a change for the log, and for the store if this VM is an
// arbiter.
func (r *Reducer) reportQuarantine(rec *quarantine.Record) {
	arbiter := r.isArbiter(rec.Fingerprint)
	quarantined := rec.Quarantined()
	r.out.Quarantines = append(r.out.Quarantines, Quarantine{
		Record: *rec, Keep: arbiter && quarantined, Remove: arbiter && !quarantined,
	})
}

// expireQuarantine drops expired quarantines and removes them from the store.
func (r *Reducer) expireQuarantine(now clock.Time) {
	for _, f := range r.quarantine.Expire(now) {
		r.reportQuarantine(&quarantine.Record{Fingerprint: f})
	}
	r.expiryScheduled = false
	if r.quarantine.QuarantinedCount() > 0 {
		r.scheduleExpiry(now)
	}
}
