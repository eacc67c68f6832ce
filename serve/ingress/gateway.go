package ingress

import (
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Requests go to a gateway as HTTP on separate connections. Bodies and answers may
// have any size, a connection that ends affects one request only, and a slow reader
// does not block the others. The request is the caller's with one additional header
// field, forwardHeader.

const (
	// forwardHeader tells a gateway what to do with a request. Its value is the
	// target, the milliseconds left and the deployment tag, separated by spaces.
	forwardHeader = "Azurethread-Carry"
	// forwardTermsHeader tells a gateway how the placement took account of the target's
	// rate limit: limitCounted, or limitEnded and the milliseconds since. It is absent
	// if the sender knows no limit.
	forwardTermsHeader = "Azurethread-Carry-Limit"
	limitCounted       = "counted"
	limitEnded         = "ended"
	// forwardUnusedHeader asks a gateway to use a connection to the target that has carried
	// nothing.
	forwardUnusedHeader = "Azurethread-Carry-Unused"
	// returnedLimitHeader is in the answer of a gateway that has not sent the request
	// because of the target's rate limit: the requests per second, and the milliseconds
	// since an answer stated the limit.
	returnedLimitHeader = "Azurethread-Returned-Limit"
	// forwardSentHeader tells a gateway when a request was sent: the name of the sender's
	// clock and its milliseconds, separated by a space.
	forwardSentHeader = "Azurethread-Carry-Sent"
	// returnedHeldUpHeader is in the answer of a gateway that has not sent the request
	// because its time was over: for how many milliseconds it was held up on its way.
	returnedHeldUpHeader = "Azurethread-Returned-Held-Up-Ms"
	// gatewayWaitHeader is in the answer of a gateway: the milliseconds for which the
	// request waited there for a connection to the target. It is absent if one was
	// idle.
	gatewayWaitHeader = "Azurethread-Gateway-Waited-Ms"
	// gatewayAnswerHeader is in a gateway's answer if the target's one states that the
	// request has not run: the fields of answerRecord, separated by spaces.
	gatewayAnswerHeader = "Azurethread-Gateway-Answer"
	// deploymentTagBytes is how much of the deployment's key is in the tag. Like
	// the key, the tag separates deployments and authenticates nothing.
	deploymentTagBytes = 8
	// gatewayIdleTimeout is how long an idle connection to a gateway is reused, and
	// gatewayIdleMargin how much longer the gateway keeps it open.
	gatewayIdleTimeout = 30 * time.Second
	gatewayIdleMargin  = 15 * time.Second
	// gatewayBodyMemoryDivisor: the bodies of forwarded requests may use
	// 1/gatewayBodyMemoryDivisor of the memory, in addition to the bodies of callers'
	// requests.
	gatewayBodyMemoryDivisor = 16
	// gatewayHeadMemoryDivisor: the same for their heads.
	gatewayHeadMemoryDivisor = 16
)

// startGateway opens the connection pool to gateways and the listener for
// requests that other entry VMs forward through this one.
func (s *Server) startGateway() error {
	key := deploymentKey(s.settings)
	s.deploymentTag = hex.EncodeToString(key[:deploymentTagBytes])
	var err error
	if s.gatewayPool, err = s.newPool(gatewayIdleTimeout); err != nil {
		return err
	}
	if s.settings.Self.GatewayAddr == "" {
		return nil
	}
	s.gatewayServer, err = inbound.Listen(s.settings.Self.GatewayAddr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   maxForwardedHeadBytes,
			BodyBytes:   maxBodyBytes,
			ReadTimeout: defaultReadTimeout,
			BodyTimeout: bodyTimeout,
			IdleTimeout: gatewayIdleTimeout + gatewayIdleMargin,
		},
		MaxBufferedBodies: s.settings.MemoryBytes / gatewayBodyMemoryDivisor,
		Account:           inbound.NewAccount(s.settings.MemoryBytes/gatewayHeadMemoryDivisor, 0, s.callerRefused),
		WriteTimeout:      writeTimeout,
		Pollers:           1,
		Refusal:           func(int) (http.Header, []byte) { return gatewayNotRun(), nil },
		RefuseAtClose:     true,
		Closed:            s.connectionClosed,
	})
	if err != nil {
		return err
	}
	s.settings.Self.GatewayAddr = s.gatewayServer.Addr() // with the port in use
	return nil
}

// maxForwardedHeadBytes limits the head of a forwarded request. The VM that
// received the request has already applied the operators' limit.
const maxForwardedHeadBytes = 1 << 20

// gatewayNotRun returns a header which states that this gateway did not send the
// request.
func gatewayNotRun() http.Header {
	h := make(http.Header, 2)
	heads.SetFailure(h, verdict.NotRun, verdict.ReasonGateway)
	return h
}

// sendThroughGateway sends a request to its gateway.
func (s *Server) sendThroughGateway(k *call, e *ingress.Send, done outbound.Done) *outbound.Call {
	vm, known := s.member(e.Gateway)
	if !known || vm.GatewayAddr == "" {
		done(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonGateway})
		return nil
	}
	h := s.passedHeader(k, e)
	h[forwardHeader] = []string{s.forwardHeaderValue(e)}
	if terms := formatTerms(e.Terms); terms != "" {
		h[forwardTermsHeader] = []string{terms}
	}
	if e.Unused {
		h[forwardUnusedHeader] = []string{"1"}
	}
	sentAt := s.now()
	h[forwardSentHeader] = []string{s.transitClock.stamp()}
	// e is reused.
	id, target, requestID := e.Attempt, e.Target, k.exchange.Header.Get(s.settings.Fields.RequestID)
	return s.gatewayPool.Do(vm.GatewayAddr, &outbound.Request{
		Method: k.exchange.Method, URI: k.exchange.URI, Host: k.exchange.Header.Get("Host"), Header: h, Body: k.exchange.Body,
		OwnerOf:        func(h outbound.Head) outbound.Ownership { return s.ownerOfForwarded(requestID, target, h) },
		Unused:         requestID == "",
		HeadReceived:   s.gatewayHeadReader(e),
		Acknowledged:   func() { s.core.Post(&ingress.GatewayAccepted{Attempt: id}) },
		ConnectTimeout: e.ConnectTimeout,
		KeepSpare:      e.KeepSpare,
	}, func(ans *outbound.Answer, err *verdict.Error) {
		switch {
		case err != nil && err.Reason == verdict.ReasonCallerGone:
			// This VM cancelled it.
		case err != nil && err.Reason == verdict.ReasonNoMemory:
			// That of this VM, not of the gateway.
		case err != nil:
			err = &verdict.Error{Verdict: err.Verdict, Reason: verdict.ReasonGateway, Err: err}
		default:
			s.checkHeldUp(ans.Header, s.now().Sub(sentAt))
			if err = s.gatewayFailure(ans); err != nil {
				ans.Release()
				ans = nil
			}
		}
		done(ans, err)
	})
}

// ownerOfForwarded is ownerOf for answers of a gateway. Its acknowledgement may lack the id.
func (s *Server) ownerOfForwarded(id string, target fleet.TargetID, h outbound.Head) outbound.Ownership {
	if h.Status < http.StatusOK && h.Header.Get(s.settings.Fields.RequestID) == "" {
		return outbound.Unnamed
	}
	return s.ownerOf(id, target, h)
}

// handleSilentGateway handles a gateway that has not acknowledged a request.
func (s *Server) handleSilentGateway(id fleet.VMID) {
	s.metrics.silentGateways.Add(1)
	s.event(eventGateway).WithField("gateway", id).Info("gateway does not acknowledge requests: avoided for a while")
	s.discardGatewayConns(id)
}

// discardGatewayConns closes the idle connections to a gateway. A device on the
// path may have lost their state; new connections show whether the gateway is
// reachable.
func (s *Server) discardGatewayConns(id fleet.VMID) {
	if vm, known := s.member(id); known {
		s.gatewayPool.CloseIdle(vm.GatewayAddr, 0)
	}
}

// forwardHeaderValue returns the value of forwardHeader.
func (s *Server) forwardHeaderValue(e *ingress.Send) string {
	left := strconv.FormatInt(max(e.TimeLeft.Milliseconds(), 1), 10)
	return strings.Join([]string{string(e.Target), left, s.deploymentTag}, " ")
}

// serveForwarded accepts a request that another entry VM has placed at a target
// near this one.
func (s *Server) serveForwarded(x *inbound.Exchange) {
	ev, ok := s.parseForwardHeader(x.Header)
	if !ok {
		h := gatewayNotRun()
		s.nameRequest(h, x)
		x.Respond(http.StatusBadRequest, h, nil)
		return
	}
	delete(x.Header, forwardHeader)
	ev.Terms = parseTerms(x.Header.Get(forwardTermsHeader))
	delete(x.Header, forwardTermsHeader)
	ev.Unused = x.Header.Get(forwardUnusedHeader) != ""
	delete(x.Header, forwardUnusedHeader)
	ev.Clock, ev.Distance = parseStamp(x.Header.Get(forwardSentHeader))
	delete(x.Header, forwardSentHeader)
	x.Acknowledge()
	k := s.calls.add(x, s.now())
	k.forwarded = true
	ev.Request = k.id
	s.metrics.forwarded.Add(1)
	s.core.Post(ev)
	x.OnCallerGone(func() { s.core.Post(&ingress.CallerGone{Request: k.id}) })
}

// parseForwardHeader parses forwardHeader. It reports false if the value is
// invalid or from another deployment.
func (s *Server) parseForwardHeader(h http.Header) (*ingress.ForwardRequest, bool) {
	part := strings.Split(h.Get(forwardHeader), " ")
	if len(part) != 3 || subtle.ConstantTimeCompare([]byte(part[2]), []byte(s.deploymentTag)) == 0 {
		return nil, false
	}
	left, ok := heads.ParseMillis(part[1])
	if !ok || part[0] == "" {
		return nil, false
	}
	return &ingress.ForwardRequest{Target: fleet.TargetID(part[0]), TimeLeft: left}, true
}

// deliverForwarded returns a target's answer to the entry VM that received the
// request.
func (s *Server) deliverForwarded(k *call, ans *outbound.Answer) {
	heads.RemoveHopByHop(ans.Header)
	heads.RemoveFailure(ans.Header)
	delete(ans.Header, gatewayWaitHeader)
	delete(ans.Header, gatewayAnswerHeader)
	if outcome := s.outcomeOf(ans); outcome.Verdict() == verdict.NotRun {
		ans.Header[gatewayAnswerHeader] = []string{s.describeAnswer(ans).encode()}
	}
	if wait := ans.ConnectionWait; wait > 0 {
		s.metrics.gatewayConnWaits.Add(1)
		s.metrics.gatewayConnWaitMS.Add(wait.Milliseconds())
		ans.Header[gatewayWaitHeader] = []string{strconv.FormatInt(wait.Milliseconds(), 10)}
	}
	s.nameRequest(ans.Header, k.exchange)
	k.exchange.Respond(ans.Status, ans.Header, ans.Body)
}

// nameRequest makes an answer name the request of x, if that has an id. The connection of an
// answer without a name is not used again.
func (s *Server) nameRequest(h http.Header, x *inbound.Exchange) {
	field := s.settings.Fields.RequestID
	if id := x.Header.Get(field); id != "" {
		h[field] = []string{id}
	}
}

// takeGatewayWait removes and returns the time in ms for which a request waited at its
// gateway for a connection; 0 if the gateway, of another version, states none.
func takeGatewayWait(h http.Header) int64 {
	wait, ok := heads.ParseMillis(h.Get(gatewayWaitHeader))
	delete(h, gatewayWaitHeader)
	if !ok {
		return 0
	}
	return wait.Milliseconds()
}

// refuseForwarded returns the verdict of a request without an answer to the
// entry VM that received it.
func (s *Server) refuseForwarded(k *call, e *ingress.Refusal) {
	h := make(http.Header, 5)
	heads.SetFailure(h, e.Verdict, e.Reason)
	s.nameRequest(h, k.exchange)
	status := http.StatusBadGateway
	if !e.Notice.Empty() {
		status = http.StatusServiceUnavailable
		s.setNotice(h, e.Notice)
	}
	if e.HeldUp > 0 {
		s.metrics.forwardedLate.Add(1)
		h[returnedHeldUpHeader] = []string{strconv.FormatInt(min(e.HeldUp, heads.MaxDuration).Milliseconds(), 10)}
		s.logHeldUp(k, e.HeldUp)
	}
	if a := k.lastEvidence(); a != nil && e.Reason == verdict.ReasonUnproved {
		h[gatewayAnswerHeader] = []string{a.encode()}
	}
	if e.Limit.Target != "" {
		h[returnedLimitHeader] = []string{formatReturnedLimit(e.Limit)}
	}
	k.exchange.Respond(status, h, nil)
}

// gatewayHeadReader returns a function that reads the head of a gateway's answer: the
// notice of the target, and the limit because of which the gateway returns the request.
func (s *Server) gatewayHeadReader(e *ingress.Send) func(outbound.Head) {
	notices, target := s.noticeReader(e), e.Target
	return func(h outbound.Head) {
		notices(h)
		if l, ok := parseReturnedLimit(h.Header.Get(returnedLimitHeader)); ok && heads.ParseFailure(h.Header) != nil {
			l.Target = target
			s.core.Post(&ingress.LimitReceived{Limit: l})
		}
	}
}
