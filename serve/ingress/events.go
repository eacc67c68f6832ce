package ingress

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Event names of the log lines. docs/OPERATIONS.md explains their fields.
const (
	eventStart     = "start"
	eventStop      = "stop"
	eventReload    = "reload"
	eventRequest   = "request"
	eventConfig    = "config"
	eventTarget    = "target"
	eventEvacuate  = "evacuate"
	eventStore     = "store"
	eventMembers   = "members"
	eventRelay     = "relay"
	eventCondensed = "requests-condensed"
	eventPlaced    = "placed"
	eventGateway   = "gateway"

	eventQuarantine = "quarantine"
)

const (
	// successEvery is how many answered requests share one line.
	successEvery = 64
	// failuresPerSecond bounds the lines on requests that failed; the rest are
	// counted in a line of their own.
	failuresPerSecond = 100
)

// step is one send of a call, for its line.
type sendStep struct {
	Target   fleet.TargetID  `json:"target"`
	Domain   fleet.Domain    `json:"domain"`              // of the target
	Gateway  fleet.VMID      `json:"gateway,omitempty"`   // that carried it
	AfterMS  int64           `json:"after_ms"`            // since the request came
	WaitedMS int64           `json:"waited_ms,omitempty"` // for a connection; 0: one was free
	TookMS   int64           `json:"took_ms"`             // 0: not ended
	Outcome  string          `json:"outcome"`
	Reason   verdict.Reason  `json:"reason,omitempty"`
	Verdict  verdict.Verdict `json:"verdict"`
}

// sampler decides which requests get a line.
type sampler struct {
	mu        sync.Mutex
	served    int // since the last line on an answered request
	failed    int // lines on failures in this second
	condensed int // failures without a line in this second
	second    clock.Time
}

// success reports whether an answered request gets a line.
func (s *sampler) success() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if s.served < successEvery {
		return false
	}
	s.served = 0
	return true
}

// failure reports whether a failed request gets a line, and how many of the
// second before got none.
func (s *sampler) failure(now clock.Time) (line bool, condensed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		condensed = s.condensed
		s.second, s.failed, s.condensed = now, 0, 0
	}
	if s.failed >= failuresPerSecond {
		s.condensed++
		return false, condensed
	}
	s.failed++
	return true, condensed
}

// event begins a line.
func (s *Server) event(name string) *logrus.Entry { return s.log.WithField("event", name) }

// logDelivered writes the line of a request that a target has answered.
func (s *Server) logDelivered(k *call, status int) {
	s.metrics.delivered(status, s.now().Sub(k.at))
	if status < http.StatusInternalServerError && !s.lines.success() {
		return
	}
	s.requestLine(k, status, verdict.Ran, verdict.ReasonNone).Info("answered by a target")
}

// logRefused writes the line of a request that this VM has answered itself.
func (s *Server) logRefused(k *call, status int, e *ingress.Refusal) {
	s.metrics.refused(e.Reason, e.Verdict, s.now().Sub(k.at))
	line, condensed := s.lines.failure(s.now())
	if condensed > 0 {
		s.event(eventCondensed).WithField("count", condensed).Warn("failed requests without a line")
	}
	if line {
		s.requestLine(k, status, e.Verdict, e.Reason).
			WithField("retry_after_ms", e.RetryAfter.Milliseconds()).Warn("answered by this entry VM")
	}
}

// logGone writes the line of a request whose caller has left.
func (s *Server) logGone(k *call) {
	s.metrics.gone.Add(1)
	if line, _ := s.lines.failure(s.now()); line {
		s.requestLine(k, 0, verdict.MayHaveRun, verdict.ReasonCallerGone).Info("caller has left")
	}
}

// requestLine holds what decided a request: its sends, and the age and version
// of what this VM believed.
func (s *Server) requestLine(k *call, status int, v verdict.Verdict, why verdict.Reason) *logrus.Entry {
	now := s.now()
	k.mu.Lock()
	sends := append([]sendStep(nil), k.sends...)
	k.mu.Unlock()
	return s.log.WithFields(logrus.Fields{
		"event":         eventRequest,
		"request":       k.x.Header.Get(s.set.Fields.RequestID),
		"vm":            s.set.Self.ID,
		"method":        k.x.Method,
		"host":          k.x.Header.Get("Host"),
		"fingerprint":   k.fingerprint,
		"status":        status,
		"verdict":       v,
		"reason":        why,
		"took_ms":       now.Sub(k.at).Milliseconds(),
		"patience_ms":   k.patience.Milliseconds(),
		"sends":         sends,
		"config":        s.version(),
		"store_age_ms":  now.Sub(clock.Time(s.storeHeard.Load())).Milliseconds(),
		"store_reached": !s.storeLost.Load(),
	})
}
