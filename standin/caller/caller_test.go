package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/payload"
	"github.com/azurethread/azurethread/standin/target"
)

// answer is a scripted response of an entry VM to one call.
type answer struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cut     bool // close the connection without answering
	content string
	half    bool // cut the answer after half of the content
	bare    bool // answer with an error without a verdict
}

var ran = answer{verdict: verdict.Ran}

// entryVM is a test entry VM that answers look-ups, and calls from a script.
type entryVM struct {
	*httptest.Server
	mu      sync.Mutex
	script  []answer
	tokens  []string
	lookups int
}

func newEntryVM(script ...answer) *entryVM {
	e := &entryVM{script: script}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/lookup", e.lookup)
	m.HandleFunc("POST /v1/call/{service}/{path...}", e.call)
	e.Server = httptest.NewServer(m)
	return e
}

func (e *entryVM) addr() string { return e.Listener.Addr().String() }

// seenTokens returns the tokens of the calls received, in order.
func (e *entryVM) seenTokens() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.tokens)
}

func (e *entryVM) lookup(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.lookups++
	n := e.lookups
	e.mu.Unlock()
	vm := caller.EntryVM{ID: "vm-1", Addr: e.addr(), Region: "attiki"}
	count, _ := strconv.Atoi(r.FormValue("tokens"))
	for i := range count {
		vm.Tokens = append(vm.Tokens, fmt.Sprintf("token-%d-%d", n, i))
	}
	json.NewEncoder(w).Encode(caller.Lookup{TTL: time.Hour.Milliseconds(), EntryVMs: []caller.EntryVM{vm}})
}

func (e *entryVM) call(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.tokens = append(e.tokens, r.Header.Get("Azurethread-Token"))
	a := e.script[0]
	e.script = e.script[1:]
	e.mu.Unlock()
	if a.cut {
		panic(http.ErrAbortHandler)
	}
	if a.bare {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set(verdict.Header, a.verdict.String())
	if a.verdict != verdict.Ran {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(map[string]any{"verdict": a.verdict, "reason": a.reason})
		return
	}
	e.content(w, r, a)
}

func (e *entryVM) content(w http.ResponseWriter, r *http.Request, a answer) {
	id := r.Header.Get(payload.IDHeader)
	var b bytes.Buffer
	payload.Write(&b, id+a.content, payload.DefaultSize)
	h := w.Header()
	h.Set(payload.IDHeader, id)
	h.Set(payload.HashHeader, payload.HashOf(nil))
	h.Set("Content-Length", strconv.Itoa(b.Len()))
	if a.half {
		b.Truncate(b.Len() / 2)
	}
	w.Write(b.Bytes())
}

func TestResendRules(t *testing.T) {
	notRun := answer{verdict: verdict.NotRun, reason: verdict.ReasonOverload}
	mayHaveRun := answer{verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost}
	cut := answer{cut: true}
	half := answer{verdict: verdict.Ran, half: true}
	cases := map[string]struct {
		idempotent bool
		resendLost bool
		script     []answer
		want       verdict.Verdict
		answered   bool
		tokens     []string
	}{
		"idempotent, lost twice":             {idempotent: true, script: []answer{cut, half, ran}, want: verdict.Ran, answered: true, tokens: []string{"", "", ""}},
		"idempotent, lost three times":       {idempotent: true, script: []answer{cut, mayHaveRun, half}, want: verdict.MayHaveRun, tokens: []string{"", "", ""}},
		"not idempotent, not run":            {script: []answer{notRun, ran}, want: verdict.Ran, answered: true, tokens: []string{"token-1-0", "token-2-0"}},
		"not idempotent, may have run":       {script: []answer{mayHaveRun}, want: verdict.MayHaveRun, tokens: []string{"token-1-0"}},
		"not idempotent, lost":               {script: []answer{cut}, want: verdict.MayHaveRun, tokens: []string{"token-1-0"}},
		"not idempotent, lost, resent":       {resendLost: true, script: []answer{cut, ran}, want: verdict.Ran, answered: true, tokens: []string{"token-1-0", "token-1-0"}},
		"not idempotent, lost, then not run": {resendLost: true, script: []answer{cut, notRun}, want: verdict.MayHaveRun, tokens: []string{"token-1-0", "token-1-0"}},
		"not idempotent, never run":          {script: []answer{notRun, notRun, notRun, notRun}, want: verdict.NotRun, tokens: []string{"token-1-0", "token-2-0", "token-3-0", "token-4-0"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEntryVM(tc.script...)
			defer e.Close()
			c := caller.New(caller.Options{EntryAddrs: []string{e.addr()}, ResendLost: tc.resendLost})
			defer c.Close()
			o := c.Do(context.Background(), caller.Request{ID: "a", Service: "s", Idempotent: tc.idempotent})
			is.Equal(o.Verdict, tc.want)
			is.Equal(o.Answered, tc.answered)
			is.Equal(o.Wrong, false)
			is.Equal(e.seenTokens(), tc.tokens)
		})
	}
}

func TestWrongAnswerAndMissingVerdictAreCounted(t *testing.T) {
	is := is.New(t)
	e := newEntryVM(answer{verdict: verdict.Ran, content: "another's"}, answer{bare: true})
	defer e.Close()
	c := caller.New(caller.Options{EntryAddrs: []string{e.addr()}})
	defer c.Close()
	o := c.Do(context.Background(), caller.Request{ID: "a", Service: "s"})
	is.True(o.Answered && o.Wrong)
	o = c.Do(context.Background(), caller.Request{ID: "b", Service: "s"})
	is.Equal(o.MissingVerdicts, 1)
	is.Equal(o.Verdict, verdict.MayHaveRun)
}

func TestLookupIsCachedAndSkipsFailedEntryAddress(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	e := newEntryVM(ran, ran)
	defer e.Close()
	c := caller.New(caller.Options{EntryAddrs: []string{l.Addr().String(), e.addr()}})
	defer c.Close()
	for range 2 {
		o := c.Do(context.Background(), caller.Request{ID: "a", Service: "s"})
		is.True(o.Answered)
	}
	is.Equal(e.lookups, 1)
	is.Equal(e.seenTokens(), []string{"token-1-0", "token-1-1"})
}

func TestRequestWithoutEntryVMIsNotRun(t *testing.T) {
	is := is.New(t)
	c := caller.New(caller.Options{})
	o := c.Do(context.Background(), caller.Request{ID: "a", Service: "s", Deadline: time.Second})
	is.Equal(o.Verdict, verdict.NotRun)
	is.Equal(o.Sends, 0)
}

func TestDirectLoadAgainstTargets(t *testing.T) {
	is := is.New(t)
	s := target.New(target.Options{ID: "t-1", Slots: 64})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	callers := caller.NewMany(caller.Options{Targets: []string{s.Addr()}}, []string{"10.0.0.1", "10.0.0.2"})
	defer callers[0].Close()
	const count = 500
	run, err := caller.Load{
		Callers: callers,
		Kinds: []caller.Kind{
			{Service: "table", Idempotent: true, Weight: 3, AnswerSize: 1000},
			{Service: "permit", Weight: 1, BodySize: 2000},
		},
		Rate:  5000,
		Count: count,
		Seed:  1,
	}.Start(context.Background())
	is.NoErr(err)
	r := run.Wait()
	is.Equal(r.Requests+r.Dropped, uint64(count))
	is.Equal(r.Answered+r.NotRun, r.Requests) // a full target is the only reason for not answering
	is.Equal(r.WrongAnswers, uint64(0))
	is.Equal(r.Services["table"].Requests+r.Services["permit"].Requests, r.Requests)
	is.True(r.Quantile(50) > 0)
	is.Equal(caller.Audit(r.Outcomes, s.Executions()), caller.AuditResult{})
}

func TestLoadRequiresDurationOrCount(t *testing.T) {
	is := is.New(t)
	l := caller.Load{Callers: []*caller.Caller{caller.New(caller.Options{})}, Kinds: []caller.Kind{{Weight: 1}}, Rate: 1}
	_, err := l.Start(context.Background())
	is.True(err != nil)
}

func TestAuditFindsDifferences(t *testing.T) {
	is := is.New(t)
	outcomes := []caller.Outcome{
		{ID: "ran once", Verdict: verdict.Ran, Answered: true},
		{ID: "twice", Verdict: verdict.Ran, Answered: true},
		{ID: "twice, idempotent", Verdict: verdict.Ran, Answered: true, Idempotent: true},
		{ID: "false not-run", Verdict: verdict.NotRun},
		{ID: "true not-run", Verdict: verdict.NotRun},
		{ID: "answered, never ran", Verdict: verdict.Ran, Answered: true},
		{ID: "cut", Verdict: verdict.MayHaveRun, Lost: 1},
		{ID: "lost before it ran", Verdict: verdict.MayHaveRun, Lost: 1},
	}
	executions := map[string]int{
		"ran once": 1, "twice": 2, "twice, idempotent": 2, "false not-run": 1, "cut": 1, "never sent": 1,
	}
	is.Equal(caller.Audit(outcomes, executions), caller.AuditResult{
		Repeated: 1, FalseNotRun: 1, NeverRan: 1, RanAnswerLost: 1, UnknownExecutions: 1,
	})
}
