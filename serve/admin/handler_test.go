package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/admin/admintest"
)

const (
	anaToken = "ana-secret"
	benToken = "ben-secret"
)

// harness is a handler with an in-memory catalogue and its audit log.
type harness struct {
	mem   *admintest.Memory
	h     *admin.Handler
	audit bytes.Buffer
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	b := &harness{mem: admintest.New()}
	ops, err := admin.ParseOperators("ana=" + admin.HashToken(anaToken) + ", ben=" + admin.HashToken(benToken))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(&b.audit)
	log.SetFormatter(&logrus.JSONFormatter{})
	b.h = admin.New(admin.Config{
		Changer: b.mem, OutcomeFinder: b.mem, Viewer: b.mem,
		Operators: ops, Auditor: admin.LogAuditor{Log: log},
		NewOperationID: func() string { return "op-made-here" },
	})
	return b
}

func (b *harness) request(token, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, admin.Prefix+path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	b.h.ServeHTTP(w, r)
	return w
}

const (
	serviceBody = `{"service":{"name":"calc-lookup","idempotent":true,"priority":"interactive","timeout":"2s"},"expect":0}`
	shiftBody   = `{"entry":{"id":"march","owner":"team","class":"rehearsal","service":"calc-lookup","from":"attiki","to":"kriti","limits":{"max_share":3000}}}`
)

// TestRoutes sends a sequence of requests for one catalogue; each row depends on
// the ones before.
func TestRoutes(t *testing.T) {
	b := newHarness(t)
	for _, c := range []struct {
		token, method, path, body string
		status                    int
		contains                  string
	}{
		{"", "GET", "catalogue", "", 401, `"code":"unauthenticated"`},
		{"ana", "GET", "catalogue", "", 401, `"verdict":"not-run"`},
		{anaToken, "GET", "shifts", "", 200, `"shifts":[]`},
		{anaToken, "PUT", "services/calc-lookup", serviceBody, 200, `{"operation":"op-made-here","revision":1,"settled":true}`},
		{anaToken, "PUT", "services/calc-lookup", serviceBody, 409, `"conflict":{"expect":0,"found":1,"yours":{"service":`},
		{anaToken, "PUT", "services/other", serviceBody, 422, `"path":"service.name"`},
		{anaToken, "POST", "shifts", shiftBody, 200, `"revision":2`},
		{benToken, "POST", "shifts", shiftBody, 409, `"current":{"shift":{"id":"march"`},
		{anaToken, "POST", "shifts", `{"entry":{}}`, 422, `"path":"limits.max_share"`},
		{anaToken, "POST", "shifts", `{"entry":{"state":"running"}}`, 400, `unknown field`},
		{anaToken, "POST", "shifts", `{"entry":{"owner":7}}`, 400, `"path":"entry.owner"`},
		{anaToken, "POST", "shifts", shiftBody + "{}", 400, `more than one JSON value`},
		{anaToken, "POST", "shifts", strings.Repeat(" ", admin.MaxBody+1), 413, `"code":"body-too-large"`},
		{anaToken, "POST", "shifts/march/approve", `{"expect":2}`, 403, `"refusal":"own-entry"`},
		{benToken, "POST", "shifts/march/approve", `{"expect":2}`, 200, `"revision":3`},
		{benToken, "POST", "shifts/march/start", `{"expect":3}`, 200, `"revision":4`},
		{benToken, "DELETE", "shifts/march?expect=4", "", 403, `"refusal":"wrong-state"`},
		{benToken, "POST", "shifts/march/pause", "", 200, `"revision":5`},
		{benToken, "POST", "shifts/march/resume", `{"expect":5}`, 200, `"revision":6`},
		{benToken, "POST", "shifts/march/rollback", `{"reason":"over"}`, 200, `"revision":7`},
		{benToken, "GET", "shifts/march", "", 200, `"state":"rolled-back"`},
		{benToken, "PUT", "shifts/march", strings.TrimSuffix(shiftBody, "}") + `,"expect":7}`, 200, `"revision":8`},
		{benToken, "DELETE", "services/calc-lookup?expect=1", "", 403, `"refusal":"in-use"`},
		{benToken, "DELETE", "shifts/march?expect=x", "", 400, `must be a whole number`},
		{benToken, "DELETE", "shifts/march?expect=8", "", 200, `"revision":9`},
		{benToken, "GET", "shifts/march", "", 404, `"code":"not-found"`},
		{benToken, "GET", "operations/op-made-here", "", 200, `"verdict":"ran"`},
		{benToken, "GET", "inforce?revision=9", "", 200, `"applied":3,"total":3,"missing":[]`},
		{benToken, "GET", "status", "", 200, `"platform_reachable":true`},
		{benToken, "GET", "watch?after=9&wait=1ms", "", 200, `"changed":false`},
		{benToken, "GET", "watch?after=8&wait=30s", "", 200, `{"revision":9,"changed":true`},
		{benToken, "GET", "watch?wait=1h", "", 400, `at most 30s`},
		{benToken, "PATCH", "status", "", 404, `no such route or method`},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			is := is.New(t)
			w := b.request(c.token, c.method, c.path, c.body)
			is.Equal(w.Code, c.status)
			is.True(json.Valid(w.Body.Bytes()))
			if !strings.Contains(w.Body.String(), c.contains) {
				t.Errorf("want %s in %s", c.contains, w.Body)
			}
			is.Equal(w.Header().Get(verdict.Header) == "ran", c.status == 200)
		})
	}
}

// Guards against operators repeating a change that was made: whether the answer
// to a write was lost or the platform was unreachable, the request fails. The
// verdict and the operation id must distinguish the two.
func TestUnknownOutcomeIsReportedAsMayHaveRun(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.mem.LoseAnswers = true
	w := b.request(anaToken, "PUT", "services/calc-lookup", serviceBody)
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(w.Header().Get(verdict.Header), "may-have-run")
	is.True(strings.Contains(w.Body.String(), `"operation":"op-made-here"`))
	w = b.request(anaToken, "GET", "operations/op-made-here", "")
	is.True(strings.Contains(w.Body.String(), `"verdict":"ran","revision":1`))

	b.mem.PlatformDown = true
	w = b.request(anaToken, "PUT", "services/calc-lookup", serviceBody)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(verdict.Header), "not-run")
}

func TestNotReadyWithoutCatalogue(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.mem.ClearCatalogue()
	w := b.request(anaToken, "GET", "catalogue", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(w.Body.String(), `"code":"not-ready"`))
}

// Every request, including refused ones, produces one record, and no record holds
// a token.
func TestAudit(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.request("wrong-secret", "GET", "catalogue", "")
	b.request(anaToken, "PUT", "services/calc-lookup", serviceBody)
	b.request(anaToken, "POST", "shifts", strings.Replace(shiftBody, "rehearsal", "emergency", 1))
	b.request(anaToken, "POST", "shifts/march/approve", `{"expect":2}`)
	b.request(benToken, "POST", "shifts/march/start", `{"expect":1}`)
	text := b.audit.String()
	is.True(!strings.Contains(text, "secret"))
	is.True(!strings.Contains(text, admin.HashToken(anaToken)))
	lines := strings.Split(strings.TrimSpace(text), "\n")
	is.Equal(len(lines), 5)
	for i, want := range []string{
		`"operator":"","outcome":"unauthenticated"`,
		`"entry":"calc-lookup","kind":"put-service"`,
		`"kind":"add-shift","level":"info"`,
		`"self_approved":true`,
		`"outcome":"conflict"`,
	} {
		is.True(strings.Contains(compact(lines[i]), want))
	}
}

// compact removes the fields between the expected ones from a log line.
func compact(line string) string {
	for _, key := range []string{`"method":`, `"msg":`, `"operation":`} {
		if i := strings.Index(line, key); i >= 0 {
			end := i + len(key) + strings.Index(line[i+len(key):], ",") + 1
			line = line[:i] + line[end:]
		}
	}
	return line
}

func TestParseOperators(t *testing.T) {
	good := admin.HashToken("x")
	for text, want := range map[string]string{
		"":                              "",
		"ana=" + good:                   "",
		"ana":                           "operator 1: want name=sha256hex",
		"ana=" + good + ",ben=12":       `operator 2: "ben": the hash must be 64 hexadecimal digits`,
		"ana=" + good + ",ana=" + good:  `operator 2: "ana" appears more than once`,
		"azurethreadd=" + good:          `the name "azurethreadd" is reserved`,
		strings.Repeat("n", 65) + "=00": "at most 64 characters",
	} {
		_, err := admin.ParseOperators(text)
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
		if err != nil && strings.Contains(err.Error(), good) {
			t.Errorf("%q: the error shows a hash", text)
		}
	}
}

// Long polls must work under nbhttp, and end once Stopping is closed.
func TestLongPollUnderNbhttp(t *testing.T) {
	is := is.New(t)
	stopping := make(chan struct{})
	mem := admintest.New()
	ops, err := admin.ParseOperators("ana=" + admin.HashToken(anaToken))
	is.NoErr(err)
	h := admin.New(admin.Config{
		Changer: mem, OutcomeFinder: mem, Viewer: mem, Operators: ops,
		Auditor:        admin.LogAuditor{Log: discard()},
		NewOperationID: func() string { return "op" },
		Stopping:       stopping,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := nbhttp.NewServer(nbhttp.Config{
		Network: "tcp", Addrs: []string{ln.Addr().String()}, Handler: h,
		Listen: func(string, string) (net.Listener, error) { return ln, nil },
	})
	is.NoErr(s.Start())
	defer s.Stop()
	get := func(path string) string {
		r, err := http.NewRequest("GET", "http://"+ln.Addr().String()+admin.Prefix+path, nil)
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+anaToken)
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return string(raw)
	}
	put := change.Operation{ID: "op", Operator: "ana", Kind: change.KindPutService, PutService: &change.PutService{}}
	put.PutService.Service.Name = "calc-lookup"
	time.AfterFunc(100*time.Millisecond, func() { _, _ = mem.Change(context.Background(), put) })
	is.True(strings.Contains(get("watch?after=0&wait=30s"), `"revision":1,"changed":true`))
	time.AfterFunc(100*time.Millisecond, func() { close(stopping) })
	is.True(strings.Contains(get("watch?after=1&wait=30s"), `"changed":false`))
}

func discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// FuzzBody sends arbitrary requests: the answer must be JSON, and a refused request
// must change nothing.
func FuzzBody(f *testing.F) {
	f.Add("POST", "shifts", shiftBody)
	f.Add("PUT", "services/calc-lookup", serviceBody)
	f.Add("POST", "shifts/march/approve", `{"expect":18446744073709551615}`)
	f.Add("POST", "shifts", `{"entry":{"limits":{"window":{"start":"x"},"interval":"-1s"}}}`)
	f.Add("PUT", "shifts/%2e%2e", `[[[[`)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		r, err := http.NewRequest(method, "http://x"+admin.Prefix+path, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Authorization", "Bearer "+anaToken)
		b := newHarness(t)
		w := httptest.NewRecorder()
		b.h.ServeHTTP(w, r)
		if w.Code >= 300 && w.Code < 400 {
			return // a path that the router cleans by a redirect
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("status %d with a body that is not JSON: %q", w.Code, w.Body)
		}
		if w.Code != http.StatusOK && b.mem.Catalogue().Revision != 0 {
			t.Fatalf("status %d, and the catalogue is at revision %d", w.Code, b.mem.Catalogue().Revision)
		}
	})
}
