package daemon

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
)

// lookupAnswer is the JSON body of a look-up's answer.
type lookupAnswer struct {
	Service  fleet.ServiceName `json:"service"`
	Revision uint64            `json:"revision"`
	TTLMs    int64             `json:"ttl_ms"`
	Home     fleet.Region      `json:"home"`
	Region   fleet.Region      `json:"region"`
	Shift    string            `json:"shift,omitempty"`
	// Client is the value that the caller sends in headerClient with each request.
	Client   string     `json:"client"`
	EntryVMs []lookupVM `json:"entry_vms"`
}

type lookupVM struct {
	ID     fleet.VMID   `json:"id"`
	Addr   string       `json:"addr"`
	Region fleet.Region `json:"region"`
	Domain fleet.Domain `json:"domain"`
	Tokens []string     `json:"tokens,omitempty"`
}

// maxTokens is the maximum number of tokens per entry VM in a look-up's answer.
const maxTokens = 64

// servePage serves all requests that are not calls.
func (d *Daemon) servePage(x *inbound.Exchange) {
	path, query, _ := strings.Cut(x.URI, "?")
	q, err := url.ParseQuery(query)
	if err != nil || (x.Method != http.MethodGet && x.Method != http.MethodHead) {
		d.writeError(x, errorBody{Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest})
		return
	}
	switch path {
	case pathLookup:
		d.serveLookup(x, q)
	case pathOutcome:
		d.serveOutcome(x, q.Get("token"))
	case pathReady:
		d.serveReadiness(x)
	default:
		d.writeError(x, errorBody{Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest})
	}
}

// serveLookup returns the entry VMs that a client should use.
func (d *Daemon) serveLookup(x *inbound.Exchange, q url.Values) {
	service := fleet.ServiceName(q.Get("service"))
	addr, ok := parseClientAddr(q.Get("client"), x.Remote)
	tokens, tokensOK := parseTokenCount(q.Get("tokens"))
	if service == "" || !ok || !tokensOK {
		d.writeError(x, errorBody{Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest})
		return
	}
	cat := d.config.Load()
	if cat == nil {
		d.writeError(x, errorBody{Verdict: verdict.NotRun, Reason: verdict.ReasonNotReady, RetryAfterMs: notReadyRetryMs})
		return
	}
	s, known := cat.Service(service)
	if !known {
		d.writeError(x, errorBody{Verdict: verdict.NotRun, Reason: verdict.ReasonUnknownService})
		return
	}
	if s.Idempotent {
		tokens = 0
	}
	var choices [steer.MaxChoices]steer.Choice
	now := d.now()
	a := d.lookups.answer(now, service, addr, choices[:])
	out := lookupAnswer{
		Service:  service,
		Revision: cat.Revision,
		TTLMs:    a.TTL.Milliseconds(),
		Home:     a.Home,
		Region:   a.Region,
		Shift:    a.ShiftID,
		Client:   client{home: a.Home, block: a.Block}.encode(),
		EntryVMs: make([]lookupVM, a.N),
	}
	for i, c := range choices[:a.N] {
		out.EntryVMs[i] = lookupVM{ID: c.VM, Addr: c.Addr, Region: c.Region, Domain: c.Domain}
		out.EntryVMs[i].Tokens = d.mintTokens(c.VM, now, tokens)
	}
	d.metrics.lookups.Add(1)
	respondJSON(x, http.StatusOK, out)
}

// notReadyRetryMs is the retry delay, in milliseconds, sent to callers of an
// entry VM that has no configuration yet.
const notReadyRetryMs = 500

// parseClientAddr parses the client's address or block; empty means the caller.
func parseClientAddr(v string, remote netip.Addr) (netip.Addr, bool) {
	if v == "" {
		return remote, true
	}
	if p, err := netip.ParsePrefix(v); err == nil {
		return p.Addr().Unmap(), true
	}
	a, err := netip.ParseAddr(v)
	return a.Unmap(), err == nil
}

// parseTokenCount parses the number of tokens requested; empty means 1.
func parseTokenCount(v string) (int, bool) {
	if v == "" {
		return 1, true
	}
	n, err := strconv.Atoi(v)
	return n, err == nil && n >= 0 && n <= maxTokens
}

// outcomeAnswer is the JSON body of the answer to a query for a token's outcome.
type outcomeAnswer struct {
	Status         string          `json:"status"`
	Verdict        verdict.Verdict `json:"verdict"`
	Pending        bool            `json:"pending"`
	EarlierStatus  int             `json:"answered,omitempty"`
	TokenOwner     fleet.VMID      `json:"ask,omitempty"`
	TokenOwnerAddr string          `json:"ask_addr,omitempty"`
	Lost           bool            `json:"lost,omitempty"`
	RetryAfterMs   int64           `json:"retry_after_ms,omitempty"`
}

// serveOutcome returns the outcome of a caller's token. The engine is queried in
// a separate goroutine, because waiting would block the poller.
func (d *Daemon) serveOutcome(x *inbound.Exchange, tok string) {
	go func() {
		var a token.Admission
		var addr string
		ok := d.core.Query(func(now clock.Time, e *engine.Engine) {
			a = e.Outcome(now, tok)
			addr = d.vms[a.VM].CallAddr
		})
		if !ok {
			d.writeError(x, errorBody{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStopping})
			return
		}
		respondJSON(x, http.StatusOK, outcomeAnswer{
			Status:         a.Status.String(),
			Verdict:        a.Verdict,
			Pending:        a.Pending,
			EarlierStatus:  a.Answer,
			TokenOwner:     a.VM,
			TokenOwnerAddr: addr,
			Lost:           a.Lost,
			RetryAfterMs:   a.RetryAfter.Milliseconds(),
		})
	}()
}

// readinessAnswer is the JSON body of the readiness endpoint.
type readinessAnswer struct {
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
}

func (d *Daemon) serveReadiness(x *inbound.Exchange) {
	a := readinessAnswer{
		Ready:    d.Ready(),
		Leaving:  d.leaving.Load(),
		Revision: d.Revision(),
	}
	status := http.StatusOK
	if !a.Ready {
		status = http.StatusServiceUnavailable
	}
	respondJSON(x, status, a)
}

func respondJSON(x *inbound.Exchange, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	x.Respond(status, http.Header{"Content-Type": {"application/json"}}, b)
}
