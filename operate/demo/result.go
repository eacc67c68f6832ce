package demo

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Result is the last line of the demo's output.
type Result struct {
	Deployment string  `json:"deployment"`
	Fault      Fault   `json:"fault"`
	Seconds    float64 `json:"seconds"`
	Load       float64 `json:"load"` // offered, as a part of the targets' capacity

	Requests uint64 `json:"requests"`
	Answered uint64 `json:"answered"`
	// WrongAnswers are answers that looked complete but were not, or that
	// belonged to another request.
	WrongAnswers uint64 `json:"wrong_answers"`
	// Repeated are non-idempotent requests that ran more than once.
	Repeated uint64 `json:"repeated"`
	// FalseNotRun are requests that ran although their verdict was not-run.
	FalseNotRun uint64 `json:"false_not_run"`
	// Cut are requests that were cut in flight by a planned stop.
	Cut uint64 `json:"cut"`
	// OverCap is the amount by which the share moved by a traffic shift
	// exceeded its cap, in 1/10,000 of the requests; 0 if it did not.
	OverCap uint64 `json:"over_cap"`
	// Overloaded are the seconds in which a region's targets refused more
	// than one request in twenty for lack of capacity.
	Overloaded uint64 `json:"overloaded"`
	NotRun     uint64 `json:"not_run"`
	MayHaveRun uint64 `json:"may_have_run"`
	// Reasons count the requests without an answer by the last reason given.
	Reasons map[verdict.Reason]uint64 `json:"reasons,omitempty"`
	// Unmarked are error answers without a verdict.
	Unmarked uint64  `json:"unmarked"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	// DrainSeconds is the time from the start of a drain to the end of the
	// last request; 0 if nothing was drained.
	DrainSeconds float64 `json:"drain_s"`
	// LateArrivals are requests that reached a leaving target more than 2 s
	// after it began to leave.
	LateArrivals uint64 `json:"late_arrivals"`
	// MovedShare is the share of the drained region's traffic that other
	// regions served at the end of the run, in 1/10,000.
	MovedShare uint64 `json:"moved_share"`
	Violations int64  `json:"invariant_violations"` // as counted by the daemons
}

// BrokenGuarantees lists the guarantees that the run broke.
func (r *Result) BrokenGuarantees() []string {
	var out []string
	broken := func(n uint64, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	broken(r.WrongAnswers, "answers that were incomplete or belonged to another request")
	broken(r.Repeated, "non-idempotent requests repeated")
	broken(r.FalseNotRun, "requests that ran with the verdict not-run")
	broken(r.Cut, "requests cut by a planned stop")
	broken(r.OverCap, "parts in 10,000 moved in excess of the cap")
	broken(r.Overloaded, "seconds in which a region was overloaded")
	broken(r.Unmarked, "error answers without a verdict")
	broken(r.LateArrivals, "requests sent to a leaving target after 2 s")
	broken(uint64(r.Violations), "invariant violations")
	if r.Requests == 0 || r.Answered == 0 {
		out = append(out, "no request was answered")
	}
	return out
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
