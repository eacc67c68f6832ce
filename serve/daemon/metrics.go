package daemon

import (
	"expvar"
	"sync/atomic"

	"github.com/azurethread/azurethread/decide/verdict"
)

// metrics holds the daemon's counters. All are in the expvar map that the
// administration interface serves at /debug/vars.
type metrics struct {
	lookups             atomic.Int64
	attempts            atomic.Int64
	forwarded           atomic.Int64
	connectionsReplaced atomic.Int64
	callerGone          atomic.Int64
	violations          atomic.Int64
	messagesRefused     atomic.Int64
	messagesUnsent      atomic.Int64
	verdicts            [3]atomic.Int64
	reasons             *expvar.Map
	vars                *expvar.Map
}

// newMetrics returns metrics that are not published in expvar: a process may
// run several daemons, as the demo does, and expvar's names are global.
func newMetrics() *metrics {
	m := &metrics{reasons: new(expvar.Map).Init(), vars: new(expvar.Map).Init()}
	gauge := func(name string, v *atomic.Int64) {
		m.vars.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	gauge("lookups", &m.lookups)
	gauge("attempts", &m.attempts)
	gauge("forwarded", &m.forwarded)
	gauge("connections_replaced", &m.connectionsReplaced)
	gauge("callers_gone", &m.callerGone)
	gauge("invariant_violations", &m.violations)
	gauge("peer_messages_refused", &m.messagesRefused)
	gauge("peer_messages_unsent", &m.messagesUnsent)
	for v := range m.verdicts {
		gauge("answers_"+verdict.Verdict(v).String(), &m.verdicts[v])
	}
	m.vars.Set("error_answers", m.reasons)
	return m
}

// countAnswer counts a final answer by verdict and reason.
func (m *metrics) countAnswer(v verdict.Verdict, r verdict.Reason) {
	m.verdicts[v].Add(1)
	if r != verdict.ReasonNone {
		m.reasons.Add(string(r), 1)
	}
}

// addFunc adds a value that is computed when the metrics are read.
func (m *metrics) addFunc(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }
