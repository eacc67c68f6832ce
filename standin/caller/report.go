package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// The histograms' range, in microseconds, and precision, in digits.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Counts holds numbers of requests and sends by outcome.
type Counts struct {
	Requests        uint64
	Answered        uint64 // complete answer received, with right or wrong content
	WrongAnswers    uint64 // answer seemed complete but had wrong content or belonged to another request
	Failed          uint64 // ran, and the target answered with an error
	NotRun          uint64
	MayHaveRun      uint64
	Lost            uint64 // sends that ended with a lost connection or a cut answer
	TimedOut        uint64 // sends that timed out
	MissingVerdicts uint64 // error answers without a valid verdict
	Resent          uint64 // sends beyond the first of each request
	Dropped         uint64 // arrivals not sent because of the load's MaxInFlight
}

func (c *Counts) add(o Outcome) {
	c.Requests++
	switch {
	case o.Answered:
		c.Answered++
	case o.Verdict == verdict.Ran:
		c.Failed++
	case o.Verdict == verdict.NotRun:
		c.NotRun++
	default:
		c.MayHaveRun++
	}
	if o.Wrong {
		c.WrongAnswers++
	}
	c.Lost += uint64(o.Lost)
	c.TimedOut += uint64(o.TimedOut)
	c.MissingVerdicts += uint64(o.MissingVerdicts)
	c.Resent += uint64(max(o.Sends-1, 0))
}

// Report holds the results of a load. It must not be read before Run.Wait
// returns it.
type Report struct {
	Counts
	Services     map[fleet.ServiceName]Counts
	Outcomes     []Outcome
	PeakInFlight int

	latency  *hdrhistogram.Histogram // of answered requests
	services map[fleet.ServiceName]*hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func newReport() *Report {
	return &Report{
		Services: map[fleet.ServiceName]Counts{},
		latency:  newHistogram(),
		services: map[fleet.ServiceName]*hdrhistogram.Histogram{},
	}
}

func (r *Report) add(o Outcome) {
	r.Counts.add(o)
	s := r.Services[o.Service]
	s.add(o)
	r.Services[o.Service] = s
	r.Outcomes = append(r.Outcomes, o)
	if !o.Answered {
		return
	}
	h := r.services[o.Service]
	if h == nil {
		h = newHistogram()
		r.services[o.Service] = h
	}
	us := min(max(o.Latency.Microseconds(), lowestLatency), highestLatency)
	// RecordValue fails only for values outside the range.
	_ = r.latency.RecordValue(us)
	_ = h.RecordValue(us)
}

// Quantile returns the q-th percentile of the latency of answered requests; q is
// between 0 and 100.
func (r *Report) Quantile(q float64) time.Duration { return quantile(r.latency, q) }

// ServiceQuantile returns the Quantile of one service.
func (r *Report) ServiceQuantile(s fleet.ServiceName, q float64) time.Duration {
	h := r.services[s]
	if h == nil {
		return 0
	}
	return quantile(h, q)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// AuditResult holds the differences between the callers' and the targets' records.
type AuditResult struct {
	Repeated          uint64 // non-idempotent requests that ran more than once
	FalseNotRun       uint64 // requests with the verdict not-run that ran
	NeverRan          uint64 // answered requests that never ran
	RanAnswerLost     uint64 // requests that ran but lost their answer with the connection
	UnknownExecutions uint64 // executed request IDs that no caller sent
}

// Audit compares the callers' outcomes with the targets' executions, which are
// counts by request ID, summed over all targets.
func Audit(outcomes []Outcome, executions map[string]int) AuditResult {
	var res AuditResult
	sent := make(map[string]bool, len(outcomes))
	for _, o := range outcomes {
		sent[o.ID] = true
		ran := executions[o.ID]
		if ran > 1 && !o.Idempotent {
			res.Repeated++
		}
		if ran > 0 && o.Verdict == verdict.NotRun {
			res.FalseNotRun++
		}
		if ran == 0 && o.Answered {
			res.NeverRan++
		}
		if ran > 0 && o.Lost > 0 && !o.Answered {
			res.RanAnswerLost++
		}
	}
	for id := range executions {
		if !sent[id] {
			res.UnknownExecutions++
		}
	}
	return res
}
