package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// QuarantineThreshold is the number of ends in a row, without an answer, that put
// a fingerprint into quarantine. With a lower number, a harmless request that was
// twice in flight beside a query of death, or at two other crashes, would be
// quarantined too.
const QuarantineThreshold = 3

// SuspectThreshold is the number of ends from which a record is sent to all entry
// VMs. It is rarely reached by chance, and the next end may put the
// fingerprint into quarantine.
const SuspectThreshold = 2

const (
	// maxListLen bounds each list of a record, as peers and the store may send
	// lists of any length.
	maxListLen = 16
	// clearedRetention is how long a cleared record is kept, so that an end
	// that is reported late stays cleared.
	clearedRetention = 30 * time.Second
	// endsRetention is how long ends count while there are too few for a
	// quarantine. A query of death that is sent less often crashes at most one
	// target in five minutes.
	endsRetention = 5 * time.Minute
	// quarantineRetention is how long a quarantine lasts after its last trial.
	quarantineRetention = 24 * time.Hour
)

// trialDelays holds the times from the latest end or trial to the next trial,
// by the number of trials that ended a target. The first one is short, because
// a harmless fingerprint is answered then. One trial may give no result, for
// example because its target is full; each further one without a result counts
// like one that ended a target. There are at most as many trials as delays.
var trialDelays = [...]time.Duration{8 * time.Second, 2 * time.Minute, 20 * time.Minute}

// Start identifies one process of a target by its start.
type Start struct {
	Target fleet.TargetID
	Born   int64 // start time as registered, in Unix ms; 0: not stated
}

// End is the end of a target's process while a request was in flight there.
type End struct {
	Start
	Sent clock.Time // when the request was sent there
	At   clock.Time // when its connection was lost
}

// Record holds what is known about a fingerprint. The store keeps it as JSON
// under the names of its fields.
type Record struct {
	Fingerprint Fingerprint
	Route       string // route of its requests, shown to operators
	Ended       []End  // one per start
	// Cleared lists the starts whose ends were followed by an answer.
	Cleared []Start
	// Round counts how often the lists were restarted because they were full.
	// Lists of an earlier round are ignored.
	Round int
	// Trials counts the requests let through while in quarantine.
	Trials int
	// Since is when the latest end was seen or the latest trial began.
	Since clock.Time
}

// Ends returns the number of ends in a row that no answer has cleared. Targets
// that end together count once: frequent requests are in flight at many
// targets, whereas a query of death moves on to the next target after one has
// ended.
func (r *Record) Ends() int { return len(r.consecutiveEnds()) }

// consecutiveEnds returns the ends that Ends counts, in order of time.
func (r *Record) consecutiveEnds() []End {
	open := r.unclearedEnds()
	slices.SortFunc(open, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Sent, b.Sent))
	})
	var list []End
	for _, e := range open {
		if len(list) == 0 || !e.Sent.Before(list[len(list)-1].At) {
			list = append(list, e)
		}
	}
	return list
}

// endsByTrials returns how many trials have ended a target. Other attempts may
// have been sent before all entry VMs knew of the quarantine; their ends are
// not counted.
func (r *Record) endsByTrials() int {
	list := r.consecutiveEnds()
	if len(list) <= QuarantineThreshold {
		return 0
	}
	knownByAll := list[QuarantineThreshold-1].At.Add(trialDelays[0] / 2)
	n := 0
	for _, e := range list[QuarantineThreshold:] {
		if !e.Sent.Before(knownByAll) {
			n++
		}
	}
	return min(n, r.Trials)
}

// unclearedEnds returns the ends that no answer has cleared.
func (r *Record) unclearedEnds() []End {
	return slices.DeleteFunc(slices.Clone(r.Ended), func(e End) bool { return slices.Contains(r.Cleared, e.Start) })
}

// Quarantined reports whether requests with the fingerprint are kept away from
// targets.
func (r *Record) Quarantined() bool { return r.Ends() >= QuarantineThreshold }

// TrialAt returns when the next request may be let through as a trial.
func (r *Record) TrialAt() clock.Time {
	if r.Trials >= len(trialDelays) {
		return r.Expires()
	}
	step := min(max(r.endsByTrials(), r.Trials-1, 0), len(trialDelays)-1)
	return r.Since.Add(trialDelays[step])
}

// Expires returns when the record expires.
func (r *Record) Expires() clock.Time {
	switch n := r.Ends(); {
	case n == 0:
		return r.Since.Add(clearedRetention)
	case n < QuarantineThreshold:
		return r.Since.Add(endsRetention)
	default:
		return r.Since.Add(quarantineRetention)
	}
}

// clone returns a copy that shares nothing with r.
func (r *Record) clone() Record {
	c := *r
	c.Ended = slices.Clone(r.Ended)
	c.Cleared = slices.Clone(r.Cleared)
	return c
}

// merge merges other into r and reports whether r changed.
func (r *Record) merge(other *Record) bool {
	before := r.clone()
	switch {
	case other.Round > r.Round:
		r.Round, r.Ended, r.Cleared = other.Round, nil, nil
		r.add(other)
	case other.Round == r.Round:
		r.add(other)
	}
	r.Trials = max(r.Trials, other.Trials)
	if r.Route == "" {
		r.Route = other.Route
	}
	changed := r.Round != before.Round || r.Trials != before.Trials ||
		!slices.Equal(r.Ended, before.Ended) || len(r.Cleared) != len(before.Cleared)
	if changed {
		r.Since = max(r.Since, other.Since)
	}
	return changed
}

// add merges the lists of other. If they are too long, a new round begins,
// without the cleared ends.
func (r *Record) add(other *Record) {
	for _, e := range other.Ended {
		r.addEnd(e)
	}
	for _, s := range other.Cleared {
		if !slices.Contains(r.Cleared, s) {
			r.Cleared = append(r.Cleared, s)
		}
	}
	if open := r.unclearedEnds(); len(r.Ended) > maxListLen && len(open) < len(r.Ended) {
		r.Round++
		r.Ended, r.Cleared = open, nil
	}
	r.Ended = r.Ended[:min(len(r.Ended), maxListLen)]
	r.Cleared = r.Cleared[:min(len(r.Cleared), maxListLen)]
}

// addEnd adds an end. If several entry VMs saw the end of one start, the
// earliest times count.
func (r *Record) addEnd(e End) {
	i := slices.IndexFunc(r.Ended, func(o End) bool { return o.Start == e.Start })
	if i < 0 {
		r.Ended = append(r.Ended, e)
		return
	}
	r.Ended[i].Sent = min(r.Ended[i].Sent, e.Sent)
	r.Ended[i].At = min(r.Ended[i].At, e.At)
}

// clear marks all ends as cleared.
func (r *Record) clear() {
	r.Cleared = nil
	for _, e := range r.Ended {
		r.Cleared = append(r.Cleared, e.Start)
	}
}

// clearBefore marks the ends before an answer as cleared, and reports whether there
// were any.
func (r *Record) clearBefore(answered clock.Time) bool {
	cleared := false
	for _, e := range r.unclearedEnds() {
		if e.At.Before(answered) && len(r.Cleared) < maxListLen {
			r.Cleared = append(r.Cleared, e.Start)
			cleared = true
		}
	}
	return cleared
}
