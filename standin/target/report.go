package target

import "time"

// Load is the JSON body of the load endpoint.
type Load struct {
	InFlight int  `json:"in_flight"` // requests accepted and not yet answered
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"` // requests of InFlight that wait for a slot
	Cold     bool `json:"cold"`
}

// report is the health and load of a target at one time.
type report struct {
	at      time.Time
	load    Load
	healthy bool
}

// reporter delays and overrides the reports of the health and load endpoints.
// It is not safe for concurrent use.
type reporter struct {
	lag            time.Duration
	history        []report // in order of time; the first one is reported
	overrideLoad   func(Load) Load
	overrideHealth func(bool) bool
}

func (r *reporter) add(n report) {
	r.history = append(r.history, n)
	r.prune(n.at)
}

// prune drops the reports that precede the one to be reported at now.
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
