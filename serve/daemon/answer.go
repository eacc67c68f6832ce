package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// errorBody is the JSON body of every error answer.
type errorBody struct {
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       verdict.Reason  `json:"reason"`
	Message      string          `json:"message"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	// TokenOwner is the entry VM that holds the outcome of the token.
	TokenOwner     fleet.VMID `json:"ask,omitempty"`
	TokenOwnerAddr string     `json:"ask_addr,omitempty"`
	// EarlierStatus is the HTTP status that an earlier send of the token got.
	EarlierStatus int `json:"answered,omitempty"`
	// Alternatives are addresses of other entry VMs, if this one is leaving.
	Alternatives []string `json:"alternatives,omitempty"`
	// Token replaces the used one after a not-run answer.
	Token string `json:"token,omitempty"`
}

// reasonResponse is the HTTP status and message of a reason.
type reasonResponse struct {
	status  int
	message string
}

var responseByReason = map[verdict.Reason]reasonResponse{
	verdict.ReasonUnknownService:   {http.StatusNotFound, "The catalogue holds no such service."},
	verdict.ReasonRouteDefect:      {http.StatusServiceUnavailable, "The configuration of the route was not understood."},
	verdict.ReasonKeyMissing:       {http.StatusUnauthorized, "The request presents no key that can be read."},
	verdict.ReasonKeyUnknown:       {http.StatusUnauthorized, "No client account holds the key."},
	verdict.ReasonNoCommonRegion:   {http.StatusForbidden, "The route and the account allow no common region."},
	verdict.ReasonAccountDefect:    {http.StatusServiceUnavailable, "The configuration of the account was not understood."},
	verdict.ReasonOverQuota:        {http.StatusTooManyRequests, "The account has used its quota."},
	verdict.ReasonNoMemory:         {http.StatusBadGateway, "The target's answer does not fit into the memory that is free for answers."},
	verdict.ReasonUnavailable:      {http.StatusServiceUnavailable, "All targets of the service are leaving or want no request for now."},
	verdict.ReasonQuarantined:      {http.StatusServiceUnavailable, "Requests like this one end the targets that run them."},
	verdict.ReasonNotReady:         {http.StatusServiceUnavailable, "This entry VM has no configuration yet."},
	verdict.ReasonStopping:         {http.StatusServiceUnavailable, "This entry VM is leaving. Use another one."},
	verdict.ReasonOverload:         {http.StatusServiceUnavailable, "There is no capacity for the request now."},
	verdict.ReasonQueueFull:        {http.StatusServiceUnavailable, "The queue is full."},
	verdict.ReasonDeadline:         {http.StatusGatewayTimeout, "The deadline passes before an answer can be had."},
	verdict.ReasonNoTarget:         {http.StatusServiceUnavailable, "No target of the service can take work."},
	verdict.ReasonConnect:          {http.StatusBadGateway, "No connection to a target could be opened."},
	verdict.ReasonConnectionLost:   {http.StatusBadGateway, "The connection to the target was lost."},
	verdict.ReasonSilent:           {http.StatusBadGateway, "The target did not answer in time."},
	verdict.ReasonAnswerCut:        {http.StatusBadGateway, "The target's answer was not whole."},
	verdict.ReasonUnproved:         {http.StatusBadGateway, "The answer that came may be another request's."},
	verdict.ReasonGateway:          {http.StatusBadGateway, "The entry VM that carried the request to its target was lost."},
	verdict.ReasonTargetRefused:    {http.StatusServiceUnavailable, "The targets refused the request."},
	verdict.ReasonBodyTooLarge:     {http.StatusRequestEntityTooLarge, "The request body is larger than the limit."},
	verdict.ReasonBadRequest:       {http.StatusBadRequest, "The request is malformed."},
	verdict.ReasonTokenRequired:    {http.StatusPreconditionRequired, "The service is not idempotent: send a one-time token from a look-up."},
	verdict.ReasonTokenInvalid:     {http.StatusUnauthorized, "The token was not made by this system."},
	verdict.ReasonTokenElsewhere:   {http.StatusConflict, "The token belongs to another entry VM, which must be asked."},
	verdict.ReasonTokenUsed:        {http.StatusConflict, "The token has been used."},
	verdict.ReasonTokenExpired:     {http.StatusGone, "The token has expired."},
	verdict.ReasonHopLimit:         {http.StatusServiceUnavailable, "The request may not be forwarded again."},
	verdict.ReasonRetriesExhausted: {http.StatusBadGateway, "No attempt succeeded."},
	verdict.ReasonInternal:         {http.StatusInternalServerError, "The entry VM failed to handle the request."},
}

func responseFor(r verdict.Reason) reasonResponse {
	f, ok := responseByReason[r]
	if !ok {
		f = responseByReason[verdict.ReasonInternal]
	}
	return f
}

// encodeError returns the status, header and body of an error answer.
func encodeError(e errorBody) (int, http.Header, []byte) {
	f := responseFor(e.Reason)
	e.Message = f.message
	b, err := json.Marshal(e)
	if err != nil {
		b = []byte("{}") // unreachable: every field of errorBody can be encoded
	}
	h := http.Header{
		"Content-Type":  {"application/json"},
		verdict.Header:  {e.Verdict.String()},
		headerReason:    {string(e.Reason)},
		"Cache-Control": {"no-store"},
	}
	if e.RetryAfterMs > 0 {
		wait := time.Duration(e.RetryAfterMs) * time.Millisecond
		seconds := int64((wait + time.Second - 1) / time.Second)
		h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
		h[headerRetryMs] = []string{strconv.FormatInt(e.RetryAfterMs, 10)}
	}
	if e.Token != "" {
		h[headerToken] = []string{e.Token}
	}
	return f.status, h, b
}

// refusalByStatus returns the header and body of the answer to a request
// without a token that inbound refuses itself.
func refusalByStatus(status int) (http.Header, []byte) {
	e := errorBody{Verdict: verdict.NotRun, Reason: reasonOfStatus(status)}
	if status == http.StatusRequestTimeout {
		// The part not received may hold a token that was sent before, and only
		// the token ledger knows the outcome of that send.
		e.Verdict = verdict.MayHaveRun
	}
	_, h, b := encodeError(e)
	return h, b
}

// reasonOfStatus returns the reason for which inbound refused a request.
func reasonOfStatus(status int) verdict.Reason {
	switch status {
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return verdict.ReasonBodyTooLarge
	case http.StatusRequestTimeout:
		return verdict.ReasonDeadline
	default:
		return verdict.ReasonBadRequest
	}
}
