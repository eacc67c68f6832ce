package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/pace"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// call is a caller's request that has not been answered yet.
type call struct {
	id         ingress.RequestID
	exchange   *inbound.Exchange
	receivedAt clock.Time
	// fingerprint identifies the content of the request.
	fingerprint quarantine.Fingerprint
	// timeout is how long the caller waits, 0 if not stated.
	timeout time.Duration
	// account is the client account, "" until the request is sent or refused, or if
	// there is none.
	account route.AccountName
	// forwarded means that this VM, as a gateway, forwards the request for another
	// entry VM, which counts and logs it.
	forwarded bool

	mu       sync.Mutex
	attempts map[ingress.AttemptID]*attempt
	sends    []sendRecord // for the request's log line
	ended    bool         // answers that come now are dropped
}

// end releases all answers but the one that is delivered, nil if none is.
func (k *call) end(delivered *outbound.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, a := range k.attempts {
		if a.answer != nil && a.answer != delivered {
			a.answer.Release()
		}
	}
}

// keep stores an answer until the end of the call, or releases it if that has come.
func (k *call) keep(a *attempt, ans *outbound.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		ans.Release()
		return
	}
	a.answer = ans
}

// attempt is one send of a call.
type attempt struct {
	call      *outbound.Call
	answer    *outbound.Answer
	sendIndex int // into call.sends
	sentAt    clock.Time
}

// calls holds the requests in flight.
type calls struct {
	mu     sync.Mutex
	lastID ingress.RequestID
	byID   map[ingress.RequestID]*call
}

func (c *calls) add(x *inbound.Exchange, now clock.Time) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	k := &call{id: c.lastID, exchange: x, receivedAt: now, attempts: make(map[ingress.AttemptID]*attempt, 1)}
	c.byID[k.id] = k
	return k
}

func (c *calls) get(id ingress.RequestID) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// remove removes a call and returns it, nil if there is none.
func (c *calls) remove(id ingress.RequestID) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.byID[id]
	delete(c.byID, id)
	return k
}

func (c *calls) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// serveCall accepts a request of a caller.
func (s *Server) serveCall(x *inbound.Exchange) {
	timeout, ok := s.callerTimeout(x.Header)
	if !ok {
		x.Respond(http.StatusBadRequest, s.refusalHeader(x), nil)
		return
	}
	host := x.Header.Get("Host")
	object := x.Header.Get(s.settings.Fields.Object)
	k := s.calls.add(x, s.now())
	k.timeout = timeout
	k.fingerprint = quarantine.FingerprintOf(quarantine.Content{Method: x.Method, Host: host, URI: x.URI, Body: x.Body})
	s.core.Post(&ingress.Arrive{
		Request: k.id, Host: host, Path: x.URI, Object: object, Timeout: timeout, Bytes: len(x.Body),
		Fingerprint: k.fingerprint, Key: presentedKey(x.Header),
	})
	x.OnCallerGone(func() { s.core.Post(&ingress.CallerGone{Request: k.id}) })
}

// callerTimeout reads how long the caller waits, 0 if not stated. It reports
// false if the header field is invalid.
func (s *Server) callerTimeout(h http.Header) (time.Duration, bool) {
	v := h.Get(s.settings.Fields.Timeout)
	d, ok := heads.ParseMillis(v)
	if v != "" && ok {
		d = max(d, time.Millisecond) // 0 means that the caller states no timeout
	}
	return d, ok
}

// send executes a Send.
func (s *Server) send(e *ingress.Send) {
	k := s.calls.get(e.Request)
	if k == nil {
		s.core.Post(&ingress.Failed{Attempt: e.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonCallerGone})
		return
	}
	now := s.now()
	a := &attempt{sentAt: now}
	k.mu.Lock()
	k.attempts[e.Attempt] = a
	a.sendIndex = len(k.sends)
	k.account = e.Account
	k.sends = append(k.sends, sendRecord{Target: e.Target, Domain: e.Domain, Gateway: e.Gateway, AfterMS: now.Sub(k.receivedAt).Milliseconds(), Outcome: "under way", Hedge: e.Hedge})
	k.mu.Unlock()
	if !k.forwarded {
		s.metrics.sends.Add(1)
		s.metrics.sendsByDomain.Add(string(e.Domain), 1)
	}
	id := e.Attempt
	done := func(ans *outbound.Answer, err *verdict.Error) { s.attemptEnded(k, id, a, ans, err) }
	var c *outbound.Call
	if e.Gateway != "" {
		c = s.sendThroughGateway(k, e, done)
	} else {
		c = s.targetPool.Do(e.Addr, s.targetRequest(k, e), done)
	}
	k.mu.Lock()
	a.call = c
	k.mu.Unlock()
}

// targetRequest builds the request for a target from the received request: it adds
// the intended target and the time left.
func (s *Server) targetRequest(k *call, e *ingress.Send) *outbound.Request {
	f := &s.settings.Fields
	x := k.exchange
	h := s.passedHeader(k, e)
	h[f.Target] = []string{string(e.Target)}
	h[f.Timeout] = []string{strconv.FormatInt(max(e.TimeLeft.Milliseconds(), 1), 10)}
	id, target := x.Header.Get(f.RequestID), e.Target // e is reused
	return &outbound.Request{
		Method: x.Method, URI: x.URI, Host: x.Header.Get("Host"), Header: h, Body: x.Body,
		OwnerOf:        func(h outbound.Head) outbound.Ownership { return s.ownerOf(id, target, h) },
		Receiver:       string(e.Target),
		Unused:         e.Unused || id == "",
		HeadReceived:   s.noticeReader(e),
		MayEndByClose:  true,
		ConnectTimeout: e.ConnectTimeout,
		KeepSpare:      e.KeepSpare,
	}
}

// passedHeader returns the fields of a received request that are passed on, without
// the hop-by-hop ones. The fields of a forwarded request were already processed by
// the entry VM that received it from its caller.
func (s *Server) passedHeader(k *call, e *ingress.Send) http.Header {
	h := k.exchange.Header.Clone()
	heads.RemoveHopByHop(h)
	if !k.forwarded {
		setAccount(h, s.settings.Fields.Account, e)
	}
	return h
}

// ownerOf says whether an answer belongs to the request with this id to this target. A
// target may answer a request twice, and send other bytes that no request caused, also where
// the answer to the next request on the connection is due; the echoed id distinguishes them.
// Refusals may lack the id, successes do not.
func (s *Server) ownerOf(id string, target fleet.TargetID, h outbound.Head) outbound.Ownership {
	f := &s.settings.Fields
	echo := h.Header.Get(f.RequestID)
	switch {
	case echo != "" && echo == id:
		return outbound.Own
	case echo != "", h.Status < http.StatusMultipleChoices && id != "":
		return outbound.Foreign
	case h.Status == http.StatusMisdirectedRequest && (h.Reused || h.Header.Get(f.Instance) == string(target)):
		// The process that has answered a request which was meant for the target is the
		// target, and runs requests that are meant for it.
		return outbound.Foreign
	default:
		return outbound.Unnamed
	}
}

// attemptEnded processes the result of an attempt.
func (s *Server) attemptEnded(k *call, id ingress.AttemptID, a *attempt, ans *outbound.Answer, err *verdict.Error) {
	if err != nil {
		s.recordFailure(k, a, err)
		s.core.Post(&ingress.Failed{Attempt: id, Verdict: err.Verdict, Reason: err.Reason})
		return
	}
	outcome := s.outcomeOf(ans)
	load := parseLoad(ans.Header.Get(s.settings.Fields.Load))
	k.keep(a, ans)
	k.mu.Lock()
	rec := &k.sends[a.sendIndex]
	rec.WaitedMS = ans.ConnectionWait.Milliseconds()
	rec.Pace = load.Pace
	if rec.Gateway != "" {
		rec.GatewayWaitedMS = takeGatewayWait(ans.Header)
		rec.Answer = takeGatewayAnswer(ans.Header)
	} else {
		rec.Answer = s.describeAnswer(ans)
		if outcome.Verdict() == verdict.NotRun {
			s.countRejection(rec.Answer)
		}
	}
	named := rec.Answer == nil || rec.Answer.Named || k.exchange.Header.Get(s.settings.Fields.RequestID) == ""
	domain := rec.Domain
	k.mu.Unlock()
	if ans.ConnectionWait > 0 && !k.forwarded {
		s.metrics.addConnWait(domain, ans.ConnectionWait)
	}
	s.recordOutcome(k, a, outcome.String(), outcome.Verdict(), verdict.ReasonNone)
	s.core.Post(&ingress.Answered{
		Attempt:        id,
		Outcome:        outcome,
		Load:           load,
		Limit:          s.rateLimitOf(k, a, ans),
		Bytes:          len(ans.Body),
		Named:          named,
		ConnectTime:    ans.ConnectTime,
		ConnectionWait: ans.ConnectionWait,
	})
}

// recordFailure records an attempt that ended without an answer.
func (s *Server) recordFailure(k *call, a *attempt, err *verdict.Error) {
	if err.Err != nil {
		k.mu.Lock()
		rec := &k.sends[a.sendIndex]
		rec.Error = err.Err.Error()
		rec.Answer = describeUnproved(err.Err)
		if rec.Answer != nil && rec.Gateway == "" {
			s.countRejection(rec.Answer)
		}
		k.mu.Unlock()
	}
	s.recordOutcome(k, a, "failed", err.Verdict, err.Reason)
}

// recordOutcome records the result of an attempt for the metrics and the
// request's log line.
func (s *Server) recordOutcome(k *call, a *attempt, outcome string, v verdict.Verdict, why verdict.Reason) {
	if !k.forwarded {
		s.metrics.sendsByOutcome.Add(outcome, 1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	rec := &k.sends[a.sendIndex]
	rec.TookMS = s.now().Sub(a.sentAt).Milliseconds()
	rec.Outcome, rec.Verdict, rec.Reason = outcome, v, why
}

// outcomeOf classifies an answer.
func (s *Server) outcomeOf(a *outbound.Answer) ingress.Outcome {
	f := &s.settings.Fields
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return ingress.Misdirected
	case len(a.Header[f.NotRun]) > 0:
		return ingress.Refused
	case statusMeansNotRun(a.Status):
		return ingress.InvalidAnswer
	case a.Status >= http.StatusInternalServerError:
		return ingress.ServerError
	case len(a.Header[f.Stamp]) == 0 || len(a.Header["Content-Encoding"]) > 0:
		return ingress.InvalidAnswer
	default:
		return ingress.Served
	}
}

// statusMeansNotRun reports whether a status tells the caller that the request
// was not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseLoad parses a target's load: requests running, requests waiting, slots, and
// optionally its pace in percent. The load is unknown if any of the first three is missing
// or invalid. An invalid pace counts as not stated, and further numbers are ignored.
func parseLoad(v string) ingress.Load {
	var n [3]int
	for i := range n {
		var field string
		field, v, _ = strings.Cut(v, ",")
		x, err := strconv.Atoi(field)
		if err != nil || x < 0 {
			return ingress.Load{}
		}
		n[i] = x
	}
	return ingress.Load{Known: true, Running: n[0], Waiting: n[1], Slots: n[2], Pace: parsePace(v)}
}

// parsePace parses the first of the comma-separated numbers in v as a pace, 0 if there is
// none or it is invalid.
func parsePace(v string) int {
	field, _, _ := strings.Cut(v, ",")
	percent, err := strconv.Atoi(field)
	if err != nil || !pace.IsValid(percent) {
		return 0
	}
	return percent
}

// cancelAttempt executes a Cancel.
func (s *Server) cancelAttempt(k *call, id ingress.AttemptID) {
	if c := k.outboundCall(id); c != nil {
		c.Cancel(verdict.ReasonCallerGone)
	}
}

// outboundCall returns the transport's call of an attempt, nil if there is none.
func (k *call) outboundCall(id ingress.AttemptID) *outbound.Call {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.attempts[id]; a != nil {
		return a.call
	}
	return nil
}

// recallAttempt executes a Recall.
func (s *Server) recallAttempt(k *call, id ingress.AttemptID) {
	if c := k.outboundCall(id); c != nil {
		c.CancelUnsent(verdict.ReasonUnavailable)
	}
}

// deliver returns a target's answer to the caller.
func (s *Server) deliver(e ingress.Deliver) {
	k := s.calls.remove(e.Request)
	if k == nil {
		return
	}
	k.mu.Lock()
	a := k.attempts[e.Attempt].answer
	k.mu.Unlock()
	k.end(a)
	k.exchange.OnSent(a.Release)
	if k.forwarded {
		s.deliverForwarded(k, a)
		return
	}
	heads.RemoveHopByHop(a.Header)
	k.exchange.Respond(a.Status, a.Header, a.Body)
	s.logDelivered(k, a.Status)
}

// refuse answers the caller with a refusal of this VM.
func (s *Server) refuse(e *ingress.Refusal) {
	k := s.calls.remove(e.Request)
	if k == nil {
		return
	}
	k.end(nil)
	if k.forwarded {
		s.refuseForwarded(k, e)
		return
	}
	h := s.refusalHeader(k.exchange)
	if e.RetryAfter > 0 {
		h["Retry-After"] = []string{formatRetryAfter(e.RetryAfter)}
	}
	k.account = e.Account
	status := refusalStatus(e)
	if status == http.StatusUnauthorized {
		h[challengeField] = []string{challenge}
	}
	k.exchange.Respond(status, h, nil)
	s.logRefused(k, status, e)
}

// refusalHeader returns a header that names the caller's request.
func (s *Server) refusalHeader(x *inbound.Exchange) http.Header {
	h := make(http.Header, 2)
	s.nameRequest(h, x)
	return h
}

// refusalStatus returns the HTTP status of a refusal. 503 is used only for
// requests that have not run and will not run.
func refusalStatus(e *ingress.Refusal) int {
	switch {
	case e.Reason == verdict.ReasonUnknownService:
		return http.StatusNotFound
	case e.Verdict == verdict.NotRun && isUnauthorized(e.Reason):
		return http.StatusUnauthorized
	case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonNoCommonRegion:
		return http.StatusForbidden
	case e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonOverQuota:
		return http.StatusTooManyRequests
	case e.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
