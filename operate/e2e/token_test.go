package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/payload"
	"github.com/azurethread/azurethread/standin/target"
)

// outcomeBody is the answer to a query for the outcome of a token.
type outcomeBody struct {
	Status   string `json:"status"`
	Verdict  string `json:"verdict"`
	Pending  bool   `json:"pending"`
	Answered int    `json:"answered"`
	Ask      string `json:"ask"`
	AskAddr  string `json:"ask_addr"`
	Lost     bool   `json:"lost"`
}

func outcome(tb testing.TB, e *entryVM, tok string) outcomeBody {
	tb.Helper()
	var p outcomeBody
	get(tb, "http://"+e.CallAddr()+"/v1/outcome?token="+tok).decode(tb, &p)
	return p
}

// refusalBody has the fields of an error answer that the tests use.
type refusalBody struct {
	Answered     int      `json:"answered"`
	Ask          string   `json:"ask"`
	AskAddr      string   `json:"ask_addr"`
	Alternatives []string `json:"alternatives"`
}

func postFee(tb testing.TB, e *entryVM, tok, id string) answer {
	tb.Helper()
	h := http.Header{payload.IDHeader: {id}}
	if tok != "" {
		h.Set("Azurethread-Token", tok)
	}
	return call(tb, e, "POST", fee, "/post", h, []byte("amount"))
}

// Look-ups must return tokens for services that need them, and only for those.
func TestLookup(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	a := sys.startEntryVM("a", "attiki-1")
	b := sys.startEntryVM("b", "attiki-2")
	waitFor(t, func() bool { return a.KnownVMs() == 2 && b.KnownVMs() == 2 })
	p := lookup(t, a, calc, 3)
	is.True(p.TTLMs > 0)
	is.True(p.Client != "")
	is.Equal(p.Revision, uint64(1))
	is.Equal(len(p.EntryVMs), 2)
	for _, vm := range p.EntryVMs {
		is.Equal(len(vm.Tokens), 0) // an idempotent service needs none
		is.True(vm.Addr == a.CallAddr() || vm.Addr == b.CallAddr())
	}
	seen := make(map[string]bool)
	for _, vm := range lookup(t, a, fee, 3).EntryVMs {
		is.Equal(len(vm.Tokens), 3)
		for _, tok := range vm.Tokens {
			is.True(!seen[tok])
			seen[tok] = true
		}
	}
	is.Equal(len(seen), 6)
	head, err := send(http.MethodHead, "http://"+a.CallAddr()+"/v1/lookup?service="+calc, nil, nil)
	is.NoErr(err)
	is.Equal(head.status, http.StatusOK)
	is.Equal(len(head.body), 0)
}

// A caller that gets no answer cannot know whether its request runs, so its
// library may send it again: to the same entry VM, to another one, or without a
// token. The fee must be posted only once.
func TestTokens(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	s := sys.startTarget("attiki-1", target.Options{Service: fee, ID: "t1", Slots: 3})
	sys.startTarget("attiki-2", target.Options{Service: fee, ID: "t2", Slots: 3})
	a := sys.startEntryVM("a", "attiki-1")
	b := sys.startEntryVM("b", "attiki-2")
	waitFor(t, func() bool { return a.KnownVMs() == 2 && b.KnownVMs() == 2 })

	none := postFee(t, a, "", "none")
	is.Equal(none.status, http.StatusPreconditionRequired)
	is.Equal(none.verdict(), "not-run")
	forged := postFee(t, a, "AAAA", "forged")
	is.Equal(forged.status, http.StatusUnauthorized)
	is.Equal(forged.verdict(), "not-run")

	tok := tokenOf(t, lookup(t, a, fee, 1), "a")
	is.Equal(postFee(t, a, tok, "r1").status, http.StatusOK)
	again := postFee(t, a, tok, "r1")
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.reason(), "token-used")
	is.Equal(again.verdict(), "ran") // the outcome of the first send
	var page refusalBody
	again.decode(t, &page)
	is.Equal(page.Answered, http.StatusOK)
	o := outcome(t, a, tok)
	is.Equal(o.Verdict, "ran")
	is.Equal(o.Answered, http.StatusOK)

	elsewhere := postFee(t, b, tok, "r1")
	is.Equal(elsewhere.status, http.StatusConflict)
	is.Equal(elsewhere.reason(), "token-of-another-entry-vm")
	is.Equal(elsewhere.verdict(), "may-have-run")
	elsewhere.decode(t, &page)
	is.Equal(page.Ask, "a")
	is.Equal(page.AskAddr, a.CallAddr())
	o = outcome(t, b, tok)
	is.Equal(o.Ask, "a")
	is.Equal(o.AskAddr, a.CallAddr())
	is.True(!o.Lost)

	is.Equal(s.Executions()["r1"], 1)
	is.Equal(s.Executions()["none"], 0)
	is.Equal(s.Executions()["forged"], 0)
}

// A caller whose timeout is shorter than the work sends its request again while
// the first one is in progress, and queries the outcome. The second request
// must not run.
func TestTokenOfRequestInProgress(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	release := make(chan struct{})
	began := make(chan struct{}, 4)
	sys.startHandlerTarget("attiki-1", fee, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	})
	e := sys.startEntryVM("a", "attiki-1")
	tok := tokenOf(t, lookup(t, e, fee, 1), "a")
	first := make(chan answer, 1)
	go func() {
		a, _ := send("POST", "http://"+e.CallAddr()+"/v1/call/"+fee+"/x", http.Header{"Azurethread-Token": {tok}}, nil)
		first <- a
	}()
	<-began
	again := postFee(t, e, tok, "r1")
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.verdict(), "may-have-run")
	is.True(again.header.Get("Retry-After") != "") // when to query the outcome
	is.True(outcome(t, e, tok).Pending)
	close(release)
	is.Equal((<-first).status, http.StatusOK)
	is.Equal(outcome(t, e, tok).Verdict, "ran")
	is.Equal(len(began), 0) // it ran once
}

// The records of tokens are lost when the process of an entry VM ends. When it
// has restarted with the same id, and a caller sends a request that has run
// again or queries its outcome, the verdict must not be "not-run".
func TestTokenAfterRestart(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	s := sys.startTarget("attiki-1", target.Options{Service: fee, ID: "t1", Slots: 3})
	e := sys.startEntryVM("a", "attiki-1")
	tok := tokenOf(t, lookup(t, e, fee, 1), "a")
	is.Equal(postFee(t, e, tok, "r1").status, http.StatusOK)
	e.Kill()
	time.Sleep(time.Millisecond) // the next incarnation must have a later timestamp
	sys.runDaemon(e)
	waitFor(t, e.Ready)
	again := postFee(t, e, tok, "r1")
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.verdict(), "may-have-run")
	o := outcome(t, e, tok)
	is.Equal(o.Verdict, "may-have-run")
	is.True(o.Lost)
	is.Equal(s.Executions()["r1"], 1)
	fresh := tokenOf(t, lookup(t, e, fee, 1), "a")
	is.Equal(postFee(t, e, fresh, "r2").status, http.StatusOK) // new requests are accepted
}
