package ingress

import (
	"expvar"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
)

// metrics counts what the entry VM does; docs/OPERATIONS.md lists the names.
type metrics struct {
	vars     *expvar.Map
	statuses *expvar.Map // answers of targets, by status
	reasons  *expvar.Map // own answers, by reason
	verdicts *expvar.Map // own answers, by verdict
	sends    *expvar.Int
	domains  *expvar.Map // sends, by failure domain of the target
	// waits and waitMS count the answered sends that waited for a connection, and
	// how long they did in ms, by failure domain of the target.
	waits    *expvar.Map
	waitMS   *expvar.Map
	outcomes *expvar.Map // ends of sends, by outcome
	carried  *expvar.Int // requests carried for entry VMs of other regions
	// silentGateways counts gateways that did not say that they had a request.
	silentGateways *expvar.Int
	gone           *expvar.Int // callers that left
	probes         *expvar.Int // of targets that may have ended
	// badLimits counts rate limits of targets that could not be read.
	badLimits *expvar.Int
	beliefs   *expvar.Map // changes of what is held of targets
	latency   *latency
	refusals  *latency
}

// latency is a histogram of durations.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// The range of the histograms, in ms, and their significant digits.
const (
	latencyMin    = 1
	latencyMax    = 120_000
	latencyDigits = 2
)

func newLatency() *latency {
	return &latency{h: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
}

func (l *latency) add(d time.Duration) {
	ms := min(max(d.Milliseconds(), latencyMin), latencyMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(ms) // cannot fail: the value is in the range
}

// value is what expvar shows: quantiles in ms.
func (l *latency) value() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{"count": l.h.TotalCount(), "max_ms": l.h.Max()}
	for _, q := range []float64{50, 90, 99, 99.9} {
		out["p"+strconv.FormatFloat(q, 'f', -1, 64)+"_ms"] = l.h.ValueAtQuantile(q)
	}
	return out
}

// newMetrics makes a map that is not published: tests run several entry VMs in
// one process, and expvar's names are global.
func newMetrics() *metrics {
	m := &metrics{
		vars: new(expvar.Map).Init(), statuses: new(expvar.Map).Init(), reasons: new(expvar.Map).Init(),
		verdicts: new(expvar.Map).Init(), sends: new(expvar.Int), domains: new(expvar.Map).Init(),
		waits: new(expvar.Map).Init(), waitMS: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), carried: new(expvar.Int), silentGateways: new(expvar.Int),
		gone: new(expvar.Int), probes: new(expvar.Int), badLimits: new(expvar.Int), beliefs: new(expvar.Map).Init(), latency: newLatency(), refusals: newLatency(),
	}
	m.vars.Set("answers_by_status", m.statuses)
	m.vars.Set("refusals_by_reason", m.reasons)
	m.vars.Set("refusals_by_verdict", m.verdicts)
	m.vars.Set("sends", m.sends)
	m.vars.Set("sends_by_domain", m.domains)
	m.vars.Set("connection_waits_by_domain", m.waits)
	m.vars.Set("connection_wait_ms_by_domain", m.waitMS)
	m.vars.Set("sends_by_outcome", m.outcomes)
	m.vars.Set("requests_carried", m.carried)
	m.vars.Set("gateways_silent", m.silentGateways)
	m.vars.Set("callers_gone", m.gone)
	m.vars.Set("target_probes", m.probes)
	m.vars.Set("target_limits_unread", m.badLimits)
	m.vars.Set("target_beliefs", m.beliefs)
	m.vars.Set("answer_latency", expvar.Func(m.latency.value))
	m.vars.Set("refusal_latency", expvar.Func(m.refusals.value))
	return m
}

// waited counts a send that waited for a connection.
func (m *metrics) waited(at fleet.Domain, took time.Duration) {
	m.waits.Add(string(at), 1)
	m.waitMS.Add(string(at), took.Milliseconds())
}

func (m *metrics) delivered(status int, took time.Duration) {
	m.statuses.Add(strconv.Itoa(status), 1)
	m.latency.add(took)
}

func (m *metrics) refused(why verdict.Reason, v verdict.Verdict, took time.Duration) {
	m.reasons.Add(string(why), 1)
	m.verdicts.Add(v.String(), 1)
	m.refusals.add(took)
}

// publish adds the figures that are read when the metrics are.
func (s *Server) publish() {
	gauge := func(name string, f func() any) { s.metrics.vars.Set(name, expvar.Func(f)) }
	gauge("requests_in_flight", func() any { return s.calls.len() })
	gauge("caller_connections", func() any { return s.callers.Connections() })
	gauge("config_version", func() any { return s.version() })
	gauge("store_reached", func() any { return !s.storeLost.Load() })
	gauge("store_age_ms", func() any {
		return s.now().Sub(clock.Time(s.storeHeard.Load())).Milliseconds()
	})
	gauge("store_failures", func() any { return s.storeFailures.Load() })
	gauge("entry_vms", func() any { return len(s.members.Load().vms) })
	gauge("peer_traffic", func() any { return s.peers.Stats() })
	gauge("heap_bytes", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	gauge("placement", func() any { return s.placement() })
}

// serveMetrics serves the metrics as one JSON object.
func (s *Server) serveMetrics(x *inbound.Exchange) {
	if path(x) != metricsPath {
		x.Respond(http.StatusNotFound, nil, nil)
		return
	}
	body := []byte(s.metrics.vars.String())
	x.Respond(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

// metricsPath is expvar's usual path.
const metricsPath = "/debug/vars"
