package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// stoppingRetryAfter is the retry delay of a request that reaches a VM which will end
// soon. Other VMs can take it at once.
const stoppingRetryAfter = 50 * time.Millisecond

// endAll gives every request its final answer, because the process is about to end:
// answers leave a connection in the order of its requests, so a request that is still
// under way would take along the answers that are ready behind it.
func (r *Reducer) endAll(now clock.Time) {
	r.stopping = true
	var running []*request
	for _, q := range r.sortedRequests() {
		q.reason = verdict.ReasonStopping
		if len(q.running) > 0 {
			q.verdict = verdict.MayHaveRun
			running = append(running, q)
			continue
		}
		r.refuse(now, q)
	}
	// Last, because the place of a request that ends goes to one that still waits here.
	for _, q := range running {
		r.refuse(now, q)
	}
	for _, f := range r.sortedForwards() {
		r.cancelForward(f)
		r.out.Refusals = append(r.out.Refusals, Refusal{
			Request: f.request, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonGateway,
		})
	}
}
