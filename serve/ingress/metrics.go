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
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// metrics are the counters of the entry VM. docs/OPERATIONS.md lists their
// names.
type metrics struct {
	vars              *expvar.Map
	answersByStatus   *expvar.Map // targets' answers
	refusalsByReason  *expvar.Map // this VM's refusals
	refusalsByVerdict *expvar.Map // this VM's refusals
	sends             *expvar.Int
	sendsByDomain     *expvar.Map // by failure domain of the target
	// connWaits and connWaitMS count the answered sends that waited for a
	// connection, and the milliseconds they waited, by failure domain of the
	// target.
	connWaits      *expvar.Map
	connWaitMS     *expvar.Map
	sendsByOutcome *expvar.Map // finished sends
	forwarded      *expvar.Int // requests forwarded as a gateway
	// forwardedLate counts the requests that were to be forwarded and whose time was over
	// when they came.
	forwardedLate *expvar.Int
	// gatewayConnWaits and gatewayConnWaitMS count the forwarded requests that waited
	// for a connection to their target, and the milliseconds they waited.
	gatewayConnWaits  *expvar.Int
	gatewayConnWaitMS *expvar.Int
	// silentGateways counts gateways that did not acknowledge a request.
	silentGateways  *expvar.Int
	callersGone     *expvar.Int // requests whose connection was closed before the answer
	connsClosed     *expvar.Map // connections of callers and entry VMs, by reason
	requestsCut     *expvar.Map // requests in flight on them, by reason
	requestsUnread  *expvar.Map // requests received on them and not passed on, by reason
	callersRefused  *expvar.Map // because callers hold too much together, by what
	bytesUnread     *expvar.Map // bytes on idle ones that had not been read, by reason
	sendConnsClosed *expvar.Map // connections to targets and gateways, by reason
	sendsCut        *expvar.Map // requests in flight on them, by reason
	// rejections counts targets' answers which state that the request has not run, by
	// whether they name the request, and if not, whether they are the first answer on
	// their connection.
	rejections *expvar.Map
	// unsolicited counts the times that bytes were received from targets and gateways which
	// belong to no request, by outbound.UnsolicitedKind.
	unsolicited  *expvar.Map
	healthChecks *expvar.Int // reads of targets' health pages
	probes       *expvar.Int // of targets that may have crashed
	// unreadLimits counts rate limits in answers that could not be parsed.
	unreadLimits  *expvar.Int
	unreadNotices *expvar.Int // notices in answers that could not be parsed
	defects       *expvar.Int // parts of values in the store that were invalid
	// oldReads and oldRelays count full reads of the store, and full copies of other
	// VMs, that were ignored because this VM's copy is newer.
	oldReads           *expvar.Int
	fullReads          *expvar.Map // reads of all keys after the first one, by cause
	oldRelays          *expvar.Int
	targetStateChanges *expvar.Map // by kind of change
	answerLatency      *latencyHistogram
	refusalLatency     *latencyHistogram
}

// latencyHistogram is a histogram of durations.
type latencyHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// The range of the histograms, in ms, and their significant digits.
const (
	latencyMin    = 1
	latencyMax    = 120_000
	latencyDigits = 2
)

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{h: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
}

func (l *latencyHistogram) record(d time.Duration) {
	ms := min(max(d.Milliseconds(), latencyMin), latencyMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(ms) // cannot fail: ms is within the range
}

// summary returns the value shown by expvar: count, maximum and quantiles in ms.
func (l *latencyHistogram) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{"count": l.h.TotalCount(), "max_ms": l.h.Max()}
	for _, q := range []float64{50, 90, 99, 99.9} {
		out["p"+strconv.FormatFloat(q, 'f', -1, 64)+"_ms"] = l.h.ValueAtQuantile(q)
	}
	return out
}

// newMetrics returns metrics that are not published globally: tests run several
// entry VMs in one process, and expvar's names are global.
func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), answerLatency: newLatencyHistogram(), refusalLatency: newLatencyHistogram()}
	m.answersByStatus = m.newCounters("answers_by_status")
	m.refusalsByReason = m.newCounters("refusals_by_reason")
	m.refusalsByVerdict = m.newCounters("refusals_by_verdict")
	m.sends = m.newCounter("sends")
	m.sendsByDomain = m.newCounters("sends_by_domain")
	m.connWaits = m.newCounters("connection_waits_by_domain")
	m.connWaitMS = m.newCounters("connection_wait_ms_by_domain")
	m.sendsByOutcome = m.newCounters("sends_by_outcome")
	m.forwarded = m.newCounter("requests_carried")
	m.forwardedLate = m.newCounter("carried_too_late")
	m.gatewayConnWaits = m.newCounter("carried_connection_waits")
	m.gatewayConnWaitMS = m.newCounter("carried_connection_wait_ms")
	m.silentGateways = m.newCounter("gateways_silent")
	m.callersGone = m.newCounter("callers_gone")
	m.connsClosed = m.newCounters("connections_closed")
	m.requestsCut = m.newCounters("requests_cut")
	m.requestsUnread = m.newCounters("requests_unread")
	m.callersRefused = m.newCounters("callers_refused")
	m.bytesUnread = m.newCounters("bytes_unread")
	m.sendConnsClosed = m.newCounters("send_connections_closed")
	m.sendsCut = m.newCounters("sends_cut")
	m.rejections = m.newCounters("target_rejections")
	m.unsolicited = m.newCounters("bytes_unsolicited")
	m.healthChecks = m.newCounter("target_health_checks")
	m.probes = m.newCounter("target_probes")
	m.unreadLimits = m.newCounter("target_limits_unread")
	m.unreadNotices = m.newCounter("target_notices_unread")
	m.defects = m.newCounter("store_defects")
	m.oldReads = m.newCounter("store_reads_old")
	m.fullReads = m.newCounters("store_full_reads")
	m.oldRelays = m.newCounter("relays_old")
	m.targetStateChanges = m.newCounters("target_beliefs")
	m.vars.Set("answer_latency", expvar.Func(m.answerLatency.summary))
	m.vars.Set("refusal_latency", expvar.Func(m.refusalLatency.summary))
	return m
}

// newCounter adds a counter under a name.
func (m *metrics) newCounter(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}

// newCounters adds counters by a label under a name.
func (m *metrics) newCounters(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.vars.Set(name, v)
	return v
}

// addConnWait counts a send that waited for a connection.
func (m *metrics) addConnWait(at fleet.Domain, took time.Duration) {
	m.connWaits.Add(string(at), 1)
	m.connWaitMS.Add(string(at), took.Milliseconds())
}

// addSendConnClosed counts a closed connection to a target or a gateway.
func (m *metrics) addSendConnClosed(why outbound.CloseReason, inUse bool) {
	m.sendConnsClosed.Add(string(why), 1)
	if inUse {
		m.sendsCut.Add(string(why), 1)
	}
}

func (m *metrics) addAnswer(status int, took time.Duration) {
	m.answersByStatus.Add(strconv.Itoa(status), 1)
	m.answerLatency.record(took)
}

func (m *metrics) addRefusal(why verdict.Reason, v verdict.Verdict, took time.Duration) {
	m.refusalsByReason.Add(string(why), 1)
	m.refusalsByVerdict.Add(v.String(), 1)
	m.refusalLatency.record(took)
}

// publishGauges adds the metrics that are computed when they are read.
func (s *Server) publishGauges() {
	gauge := func(name string, f func() any) { s.metrics.vars.Set(name, expvar.Func(f)) }
	gauge("requests_in_flight", func() any { return s.calls.len() })
	gauge("answer_bytes_held", func() any { return s.answers.Held() })
	gauge("answers_cut_for_memory", func() any { return s.answers.Cut() })
	gauge("caller_connections", func() any { return s.callerServer.Connections() })
	gauge("config_version", func() any { return s.configVersion() })
	gauge("store_reached", func() any { return !s.storeUnreachable.Load() })
	gauge("store_age_ms", func() any {
		return s.storeAge().Milliseconds()
	})
	gauge("store_behind_ms", func() any { return s.behindFor().Milliseconds() })
	gauge("store_era", func() any { return s.storeEra.Load() })
	gauge("store_retained", func() any {
		s.copyMu.Lock()
		defer s.copyMu.Unlock()
		return s.copy.RetainedCount()
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
	gauge("hedges", func() any { return s.hedges() })
	gauge("admission", func() any { return s.admissionCounts() })
}

// admissionCounts returns what became of the requests that found no slot on arrival, by
// service.
func (s *Server) admissionCounts() map[fleet.ServiceName]ingress.AdmissionCounts {
	var counts map[fleet.ServiceName]ingress.AdmissionCounts
	s.core.Query(func(_ clock.Time, r *ingress.Reducer) { counts = r.AdmissionCounts() })
	return counts
}

// storeAge returns how long ago this VM's copy last matched the store.
func (s *Server) storeAge() time.Duration {
	return s.now().Sub(clock.Time(s.storeReadAt.Load()))
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

// metricsPath is the path that expvar uses by default.
const metricsPath = "/debug/vars"
