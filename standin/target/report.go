package target

import "time"

// Load is what the load endpoint reports.
type Load struct {
	InFlight int  `json:"in_flight"` // requests accepted and not answered
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"` // those of InFlight that wait for a slot
	Cold     bool `json:"cold"`
}

// report is what the endpoints would say at one moment.
type report struct {
	at      time.Time
	load    Load
	healthy bool
}

// reporter holds back reports so that the endpoints lag, and changes them so
// that they lie. It has no locks.
type reporter struct {
	lag            time.Duration
	history        []report // by time; the first is the one that shows
	overrideLoad   func(Load) Load
	overrideHealth func(bool) bool
}

func (r *reporter) add(n report) {
	r.history = append(r.history, n)
	r.prune(n.at)
}

// prune drops the reports that a newer one has replaced at the lagging end.
func (r *reporter) prune(now time.Time) {
	shown := now.Add(-r.lag)
	for len(r.history) > 1 && !r.history[1].at.After(shown) {
		r.history = r.history[1:]
	}
}

func (r *reporter) current(now time.Time) (Load, bool) {
	r.prune(now)
	first := r.history[0]
	if r.overrideLoad != nil {
		first.load = r.overrideLoad(first.load)
	}
	if r.overrideHealth != nil {
		first.healthy = r.overrideHealth(first.healthy)
	}
	return first.load, first.healthy
}
