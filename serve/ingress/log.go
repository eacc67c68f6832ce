package ingress

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Values of the field "event" in log lines. docs/OPERATIONS.md explains the fields
// of each event.
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
	eventConn      = "connection"
	eventLinks     = "links"

	eventUnsolicited = "unsolicited"

	eventQuarantine = "quarantine"
	eventQuota      = "quota"
)

const (
	// successSampleInterval is the number of answered requests per log line.
	successSampleInterval = 64
	// maxFailureLinesPerSecond limits the log lines for failed requests. The rest
	// are counted in a line of their own.
	maxFailureLinesPerSecond = 100
	// maxQuotaLinesPerSecond limits the log lines for decisions over quota.
	maxQuotaLinesPerSecond = 10
)

// sendRecord is one send of a call in the call's log line.
type sendRecord struct {
	Target   fleet.TargetID `json:"target"`
	Domain   fleet.Domain   `json:"domain"`              // of the target
	Gateway  fleet.VMID     `json:"gateway,omitempty"`   // that forwarded it
	AfterMS  int64          `json:"after_ms"`            // since the request arrived
	WaitedMS int64          `json:"waited_ms,omitempty"` // for a connection; 0: one was idle
	// GatewayWaitedMS is how long it waited at its gateway for a connection.
	GatewayWaitedMS int64           `json:"gateway_waited_ms,omitempty"`
	TookMS          int64           `json:"took_ms"`        // 0: not finished
	Pace            int             `json:"pace,omitempty"` // of the target, in percent; 0: not stated
	Outcome         string          `json:"outcome"`
	Reason          verdict.Reason  `json:"reason,omitempty"`
	Verdict         verdict.Verdict `json:"verdict"`
	Hedge           bool            `json:"hedge,omitempty"`  // a second send that saves time
	Error           string          `json:"error,omitempty"`  // why there is no answer
	Answer          *answerRecord   `json:"answer,omitempty"` // nil: none, or it came from a gateway that does not describe it
}

// sampler selects the requests that get a log line.
type sampler struct {
	mu        sync.Mutex
	served    int // since the last line for an answered request
	failed    int // lines for failures in this second
	condensed int // failures without a line in this second
	second    clock.Time
	// maxFailures limits the lines for failures in a second; 0:
	// maxFailureLinesPerSecond.
	maxFailures int
}

// sampleSuccess reports whether an answered request gets a log line.
func (s *sampler) sampleSuccess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if s.served < successSampleInterval {
		return false
	}
	s.served = 0
	return true
}

// sampleFailure reports whether a failed request gets a log line, and how many
// failed requests of the previous second got none.
func (s *sampler) sampleFailure(now clock.Time) (line bool, condensed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		condensed = s.condensed
		s.second, s.failed, s.condensed = now, 0, 0
	}
	if s.failed >= cmp.Or(s.maxFailures, maxFailureLinesPerSecond) {
		s.condensed++
		return false, condensed
	}
	s.failed++
	return true, condensed
}

// event starts a log line.
func (s *Server) event(name string) *logrus.Entry { return s.log.WithField("event", name) }

// logDelivered records a request that a target has answered.
func (s *Server) logDelivered(k *call, status int) {
	s.metrics.addAnswer(status, s.now().Sub(k.receivedAt))
	if status < http.StatusInternalServerError && !s.sampler.sampleSuccess() {
		return
	}
	s.requestLine(k, status, verdict.Ran, verdict.ReasonNone).Info("answered by a target")
}

// logRefused records a request that this VM has refused.
func (s *Server) logRefused(k *call, status int, e *ingress.Refusal) {
	s.metrics.addRefusal(e.Reason, e.Verdict, s.now().Sub(k.receivedAt))
	line, condensed := s.sampler.sampleFailure(s.now())
	if condensed > 0 {
		s.event(eventCondensed).WithField("count", condensed).Warn("failed requests were not logged one by one")
	}
	if line {
		s.requestLine(k, status, e.Verdict, e.Reason).
			WithField("retry_after_ms", e.RetryAfter.Milliseconds()).Warn("answered by this entry VM")
	}
}

// logCallerGone records a request whose connection was closed before the answer.
func (s *Server) logCallerGone(k *call) {
	s.metrics.callersGone.Add(1)
	line, _ := s.sampler.sampleFailure(s.now())
	if !line {
		return
	}
	why := k.exchange.CloseReason()
	entry := s.requestLine(k, 0, verdict.MayHaveRun, verdict.ReasonCallerGone).WithField("closed_by", why)
	if why.Own() {
		entry.Warn("this entry VM closed the connection of a request")
		return
	}
	entry.Info("caller closed its connection")
}

// connectionClosed records the end of a connection of a caller or of another entry
// VM. Only a close that this VM decided and that left requests without an answer gets
// a line.
func (s *Server) connectionClosed(end inbound.ConnectionEnd) {
	why := string(end.Reason)
	s.metrics.connsClosed.Add(why, 1)
	s.metrics.requestsCut.Add(why, int64(end.InFlight))
	s.metrics.requestsUnread.Add(why, int64(end.Waiting))
	s.metrics.bytesUnread.Add(why, int64(end.Unread))
	if !end.Reason.Own() || end.InFlight+end.Waiting+end.Unread == 0 {
		return
	}
	if line, _ := s.sampler.sampleFailure(s.now()); line {
		s.event(eventConn).WithFields(logrus.Fields{
			"closed_by": end.Reason, "remote": end.Remote, "requests": end.Requests,
			"in_flight": end.InFlight, "waiting": end.Waiting, "partial": end.Partial, "unread_bytes": end.Unread, "leaving": s.leaving.Load(),
		}).Warn("a connection was closed with requests that have no answer")
	}
}

// callerRefused records that a caller or another entry VM was refused, or its connection
// closed, because all of them together hold as much as they may. The lines share the limit of
// those for failed requests.
func (s *Server) callerRefused(what inbound.Refusal) {
	s.metrics.callersRefused.Add(string(what), 1)
	if line, _ := s.sampler.sampleFailure(s.now()); line {
		s.event(eventConn).WithField("refused", what).Warn("callers hold too much: one was refused")
	}
}

// unsolicited records bytes of a target that belong to no request. The lines share the limit
// of those for failed requests.
func (s *Server) unsolicited(u outbound.Unsolicited) {
	s.metrics.unsolicited.Add(string(u.Kind), 1)
	if line, _ := s.sampler.sampleFailure(s.now()); !line {
		return
	}
	fields := logrus.Fields{"addr": u.Addr, "kind": u.Kind}
	if u.Request != nil {
		fields["request"] = u.Request.Header.Get(s.settings.Fields.RequestID)
		fields["target"] = u.Request.Header.Get(s.settings.Fields.Target)
	}
	s.event(eventUnsolicited).WithFields(fields).Warn("received bytes that belong to no request")
}

// logLinkChange records that this VM's links to targets are down or up again.
func (s *Server) logLinkChange(c ingress.LinkChange) {
	line := s.event(eventLinks).WithField("failed", c.Failed).WithField("age_ms", c.Age.Milliseconds())
	if c.Down {
		line.Warn("no target can be reached from here")
		return
	}
	line.Info("targets can be reached again")
}

// requestLine returns a log line with the data behind a request's result: its
// sends, the version of the configuration, and the age of this VM's copy of the
// store.
func (s *Server) requestLine(k *call, status int, v verdict.Verdict, why verdict.Reason) *logrus.Entry {
	now := s.now()
	k.mu.Lock()
	sends, account := append([]sendRecord(nil), k.sends...), k.account
	k.mu.Unlock()
	return s.log.WithFields(logrus.Fields{
		"event":         eventRequest,
		"request":       k.exchange.Header.Get(s.settings.Fields.RequestID),
		"vm":            s.settings.Self.ID,
		"method":        k.exchange.Method,
		"host":          k.exchange.Header.Get("Host"),
		"account":       account,
		"fingerprint":   k.fingerprint,
		"status":        status,
		"verdict":       v,
		"reason":        why,
		"took_ms":       now.Sub(k.receivedAt).Milliseconds(),
		"patience_ms":   k.timeout.Milliseconds(),
		"sends":         sends,
		"config":        s.configVersion(),
		"store_age_ms":  s.storeAge().Milliseconds(),
		"store_reached": !s.storeUnreachable.Load(),
	})
}
