package ingress

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/serve/peer"
)

// writeAccounts writes a configuration with one service and accounts, each with one
// key: "key of " and its name.
func (w *testEnv) writeAccounts(version uint64, names ...route.AccountName) {
	rt := catchAllRoute(true)
	rt.Host = testHost
	cfg := route.Config{Version: version, Routes: []route.Route{rt}, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc"}}}
	for _, n := range names {
		cfg.Accounts = append(cfg.Accounts, route.Account{Name: n, Keys: []route.KeyDigest{route.DigestKey(testKey(n))}})
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(testConfig, string(b))
}

func testKey(n route.AccountName) string { return "secret-key-of-" + string(n) }

// recordingTarget remembers the header fields of the requests that it answers.
type recordingTarget struct {
	mu      sync.Mutex
	headers map[string]http.Header // by request id
}

func (g *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.headers[r.Header.Get(testFields.RequestID)] = r.Header.Clone()
	g.mu.Unlock()
	respondOK("ok")(w, r)
}

func (g *recordingTarget) header(id string) http.Header {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headers[id]
}

// requestWith sends a request with additional header lines and returns its status.
func requestWith(t *testing.T, s *Server, id string, lines ...string) *http.Response {
	t.Helper()
	c := dial(t, s)
	head := "GET /a HTTP/1.1\r\nHost: " + testHost + "\r\nX-Id: " + id + "\r\nX-Patience: 5000\r\n" + strings.Join(lines, "\r\n")
	if len(lines) > 0 {
		head += "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	res, _ := c.readResponse(http.MethodGet)
	return res
}

// Guards against a target that gets the key of a caller, or an account that the
// caller has made up; and against a key in the log.
func TestTargetGetsTheAccountAndNoKey(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	log := new(logBuffer)
	w.log = log
	w.writeAccounts(2, "north", "south")
	target := &recordingTarget{headers: make(map[string]http.Header)}
	w.startTarget("t1", target.ServeHTTP)
	s := w.startListed("vm-1")
	field := testFields.Account
	for id, lines := range map[string][]string{
		"plain":     {"Authorization: Bearer " + testKey("north")},
		"lowercase": {"authorization: bearer " + testKey("north")},
		"claimed":   {"Authorization: Bearer " + testKey("north"), field + ": south"},
		"twice":     {field + ": south", "Authorization: Bearer " + testKey("north"), strings.ToLower(field) + ": other"},
		"hop":       {"Authorization: Bearer " + testKey("north"), "Connection: " + field + ", Authorization"},
	} {
		is.Equal(requestWith(t, s, id, lines...).StatusCode, http.StatusOK)
		h := target.header(id)
		is.Equal(h[field], []string{"north"})
		is.Equal(len(h["Authorization"]), 0)
	}
	for id, lines := range map[string][]string{
		"missing":   nil,
		"unknown":   {"Authorization: Bearer nobody"},
		"malformed": {"Authorization: " + testKey("north")},
		"scheme":    {"Authorization: Basic " + testKey("north")},
		"two-keys":  {"Authorization: Bearer " + testKey("north"), "Authorization: Bearer " + testKey("south")},
		"empty":     {"Authorization: Bearer "},
		"account":   {field + ": north"},
	} {
		res := requestWith(t, s, id, lines...)
		is.Equal(res.StatusCode, http.StatusUnauthorized)
		is.Equal(res.Header.Get("WWW-Authenticate"), "Bearer")
		is.True(target.header(id) == nil)
	}
	is.True(!strings.Contains(log.String(), "secret-key"))
	is.True(!strings.Contains(s.metrics.vars.String(), "secret-key"))
}

// A rotation: a new key is added, callers change to it, and the old one is removed.
// Guards against requests lost on the way, and an old key that works longer.
func TestKeyRotationLosesNoRequest(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.writeAccounts(2, "north")
	w.startTarget("t1", respondOK("ok"))
	s := w.startListed("vm-1")
	rotate := func(version uint64, keys ...string) {
		rt := catchAllRoute(true)
		rt.Host = testHost
		a := route.Account{Name: "north"}
		for _, k := range keys {
			a.Keys = append(a.Keys, route.DigestKey(k))
		}
		b, err := json.Marshal(route.Config{Version: version, Routes: []route.Route{rt}, Accounts: []route.Account{a}, Services: map[fleet.ServiceName]route.Service{"svc": {Name: "svc"}}})
		is.NoErr(err)
		w.store.Put(testConfig, string(b))
		w.eventually("the configuration is in force", func() bool {
			ready := false
			s.core.Query(func(clock.Time, *ingress.Reducer) { ready = s.configVersion() == version })
			return ready
		})
	}
	status := func(id, key string) int {
		return requestWith(t, s, id, "Authorization: Bearer "+key).StatusCode
	}
	rotate(3, "old")
	is.Equal(status("1", "old"), http.StatusOK)
	rotate(4, "old", "new")
	is.Equal(status("2", "old"), http.StatusOK)
	is.Equal(status("3", "new"), http.StatusOK)
	rotate(5, "new")
	is.Equal(status("4", "old"), http.StatusUnauthorized)
	is.Equal(status("5", "new"), http.StatusOK)
}

// Guards against a gateway that gets a caller's key or drops the account.
func TestGatewayGetsTheAccountAndNoKey(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.writeAccounts(2, "north")
	target := &recordingTarget{headers: make(map[string]http.Header)}
	w.startTargetIn("far", "t1", target.ServeHTTP)
	s := w.waitListed(w.startIn("d1", "vm-1", w.store.NewClient()))
	far := w.waitListed(w.startIn("far", "vm-2", w.store.NewClient()))
	w.eventually("the VMs know each other", func() bool { return len(s.members.Load().vms) == 2 && len(far.members.Load().vms) == 2 })
	res := requestWith(t, s, "id-1", "Authorization: Bearer "+testKey("north"), testFields.Account+": south")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(target.header("id-1")[testFields.Account], []string{"north"})
	is.Equal(len(target.header("id-1")["Authorization"]), 0)
	is.Equal(far.metrics.forwarded.Value(), int64(1))
}

// The reader of the key field must not panic, and must not find a key where callers
// and servers may disagree about it.
func FuzzPresentedKey(f *testing.F) {
	f.Add("Bearer abc")
	f.Add("bearer  abc ")
	f.Add("Bearer")
	f.Add("Basic abc")
	f.Fuzz(func(t *testing.T, value string) {
		d := presentedKey(http.Header{"Authorization": {value}})
		if d != nil && !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
			t.Fatalf("a key was read from %q", value)
		}
		if presentedKey(http.Header{"Authorization": {value, value}}) != nil {
			t.Fatal("a key was read from two fields")
		}
	})
}

// Guards against a fleet of old and new builds that misread each other's placement
// requests: the encoding of those without an account must stay as it was.
func TestPlacementRequestsKeepTheirEncoding(t *testing.T) {
	is := is.New(t)
	plain, err := peer.Encode(kindPlacementRequest, &ingress.PlacementRequest{ID: 7, Service: "svc"})
	is.NoErr(err)
	const fields = 14 // of the struct without the account
	is.Equal(plain.Data[0], byte(0x90|fields))
	sent := accountPlacement{Account: "north", Request: ingress.PlacementRequest{ID: 7, Service: "svc", Object: "o"}}
	b, err := peer.Encode(peer.KindAccountPlacement, &sent)
	is.NoErr(err)
	var got accountPlacement
	is.NoErr(peer.Decode(b, peer.MaxBody, &got))
	is.Equal(got.Account, sent.Account)
	is.Equal(got.Request.Object, "o")
}

// Requests of accounts are placed by a coordinator that is another VM.
func TestCoordinatorChargesTheAccount(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.writeAccounts(2, "north")
	target := &recordingTarget{headers: make(map[string]http.Header)}
	w.startTarget("t1", target.ServeHTTP)
	vms := []*Server{w.startListed("vm-1"), w.startListed("vm-2")}
	for _, s := range vms {
		w.eventually("the VMs know each other", func() bool { return len(s.members.Load().vms) == len(vms) })
	}
	for _, s := range vms { // one of them asks the other
		id := "id-" + s.settings.Self.CallAddr
		is.Equal(requestWith(t, s, id, "Authorization: Bearer "+testKey("north")).StatusCode, http.StatusOK)
		is.Equal(target.header(id)[testFields.Account], []string{"north"})
	}
}
