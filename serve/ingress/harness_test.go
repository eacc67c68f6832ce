package ingress

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/serve/kv"
	"github.com/azurethread/azurethread/serve/kv/kvtest"
)

// testFields are the header fields used by the tests.
var testFields = Fields{
	RequestID: "X-Id", Timeout: "X-Patience", Object: "X-Object", Stamp: "X-Stamp",
	Target: "X-Target", Instance: "X-Instance", Load: "X-Load", Cold: "X-Cold", NotRun: "X-Not-Run", RateLimits: []string{"X-Limit"},
	Account: "X-Account", Leaving: []string{"X-Leaving"},
}

const (
	testHost   = "shop.example"
	testConfig = "test/config"
)

// testTranslator decodes configurations and targets from the JSON encoding of
// the types of decide/ingress and decide/route.
type testTranslator struct{}

func (testTranslator) Prefixes() []string { return []string{"test/"} }

// Class implements mirror.Rules.
func (testTranslator) Class(key string) mirror.Class {
	switch {
	case key == testConfig:
		return mirror.Lasting
	case strings.HasPrefix(key, "test/target/"):
		return mirror.Instance
	}
	return mirror.Transient
}

// Compare implements mirror.Rules.
func (testTranslator) Compare(key string, a, b []byte) (int, bool) {
	if key == testConfig {
		var configA, configB route.Config
		err := errors.Join(json.Unmarshal(a, &configA), json.Unmarshal(b, &configB))
		return cmp.Compare(configA.Version, configB.Version), err == nil
	}
	var targetA, targetB ingress.Target
	if !strings.HasPrefix(key, "test/target/") || json.Unmarshal(a, &targetA) != nil || json.Unmarshal(b, &targetB) != nil {
		return 0, false
	}
	draining := func(t ingress.Target) int {
		if t.Draining {
			return 1
		}
		return 0
	}
	return cmp.Compare(draining(targetA), draining(targetB)), true
}

func (testTranslator) Change(c mirror.Change) (Change, error) {
	id, isTarget := strings.CutPrefix(c.Key, "test/target/")
	domain, isEvacuation := strings.CutPrefix(c.Key, "test/evacuate/")
	switch {
	case isEvacuation:
		return Change{Evacuated: &ingress.Evacuated{Domain: fleet.Domain(domain), Begin: !c.Removed}}, nil
	case isTarget && c.Removed:
		return Change{TargetRemoved: fleet.TargetID(id)}, nil
	case isTarget:
		t := new(ingress.Target)
		if err := json.Unmarshal(c.Value, t); err != nil {
			return Change{TargetInvalid: fleet.TargetID(id), Defects: []error{err}}, nil
		}
		return Change{TargetUpdated: t}, nil
	case c.Key == testConfig:
		cfg := new(route.Config)
		if err := json.Unmarshal(c.Value, cfg); err != nil {
			return Change{}, err
		}
		return Change{Configured: &ingress.Configured{Table: route.NewTable(cfg)}}, nil
	}
	return Change{}, nil
}

// testEnv is a store with a configuration, and entry VMs on the loopback
// interface.
type testEnv struct {
	t         testing.TB
	store     *kvtest.Store
	log       io.Writer // receives the log lines
	translate Translator
	hedge     hedge.Policy
	// healthPath is the path of the targets' health pages; "": they have none, and are never
	// cold.
	healthPath string
}

func newTestEnv(t testing.TB, routes ...route.Route) *testEnv {
	w := &testEnv{t: t, store: kvtest.New(), log: io.Discard, translate: testTranslator{}}
	w.writeConfig(1, routes...)
	return w
}

// writeConfig writes a configuration with these routes and their services.
func (w *testEnv) writeConfig(version uint64, routes ...route.Route) {
	cfg := route.Config{Version: version, Services: make(map[fleet.ServiceName]route.Service)}
	for _, r := range routes {
		r.Host = testHost
		r.Attempts = max(r.Attempts, 1)
		cfg.Routes = append(cfg.Routes, r)
		for _, p := range r.Parts {
			s := route.Service{Name: p.Service, HealthPath: w.healthPath}
			if s.HealthPath != "" {
				s.ColdTime = 3 * time.Second
			}
			cfg.Services[p.Service] = s
		}
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(testConfig, string(b))
}

// catchAllRoute is a route for all paths with one service.
func catchAllRoute(idempotent bool) route.Route {
	return route.Route{
		Name: "r", Prefix: "/", Idempotent: idempotent, Attempts: 2,
		Parts: []route.Part{{Service: "svc", Weight: 1}},
	}
}

// startTarget registers a target that answers with h.
func (w *testEnv) startTarget(id string, h http.HandlerFunc) { w.startTargetIn("d1", id, h) }

// startTargetIn starts a target in a failure domain.
func (w *testEnv) startTargetIn(d fleet.Domain, id string, h http.HandlerFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	w.t.Cleanup(func() { _ = srv.Close() })
	w.registerTargetIn(d, id, ln.Addr().String())
}

// startRawTarget registers a target that serves each connection with f.
func (w *testEnv) startRawTarget(id string, f func(c net.Conn, r *bufio.Reader)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	w.registerTarget(id, ln.Addr().String())
}

func (w *testEnv) registerTarget(id, addr string) { w.registerTargetIn("d1", id, addr) }

// registerTargetIn registers a target in a failure domain.
func (w *testEnv) registerTargetIn(d fleet.Domain, id, addr string) {
	b, err := json.Marshal(ingress.Target{
		ID: fleet.TargetID(id), Service: "svc", Addr: addr, Domain: d, Slots: 4,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("test/target/"+id, string(b))
}

// addrOf returns the address of a registered target.
func (w *testEnv) addrOf(id string) string {
	value, _ := w.store.Get("test/target/" + id)
	var t ingress.Target
	if err := json.Unmarshal([]byte(value), &t); err != nil {
		w.t.Fatal(err)
	}
	return t.Addr
}

// respondOK answers as a target does.
func respondOK(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		w.Header().Set(testFields.Stamp, "s")
		_, _ = io.WriteString(w, body)
	}
}

func (w *testEnv) startListed(id string) *Server {
	w.t.Helper()
	return w.startListedWith(id, w.store.NewClient())
}

// startListedWith starts an entry VM with its own access to the store, and waits
// until it is listed.
func (w *testEnv) startListedWith(id string, store kv.Store) *Server {
	w.t.Helper()
	return w.waitListed(w.start(id, store))
}

// waitListed waits until an entry VM is on the store's list and has all targets.
func (w *testEnv) waitListed(s *Server) *Server {
	w.t.Helper()
	id := string(s.settings.Self.ID)
	w.eventually("the entry VM is listed", func() bool {
		_, listed := w.store.Get(prefixMembers + id)
		return listed && s.hasTargets(w.registeredTargets())
	})
	return s
}

// start starts an entry VM with the peer addresses of other VMs.
func (w *testEnv) start(id string, store kv.Store, seeds ...string) *Server {
	w.t.Helper()
	return w.startIn("d1", id, store, seeds...)
}

// testRegions are the regions of the tests' failure domains.
var testRegions = map[fleet.Domain]fleet.Region{"d1": "r1", "far": "r2"}

// startIn starts an entry VM in a failure domain.
func (w *testEnv) startIn(d fleet.Domain, id string, store kv.Store, seeds ...string) *Server {
	w.t.Helper()
	log := logrus.New()
	log.SetOutput(w.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	set := &Settings{
		Self: fleet.VM{
			ID: fleet.VMID(id), Domain: d, Region: testRegions[d],
			CallAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", GatewayAddr: "127.0.0.1:0",
		},
		ReadyAddr:   "127.0.0.1:0",
		LookupAddr:  "127.0.0.1:0",
		Seeds:       seeds,
		Regions:     testRegions,
		MemoryBytes: 1 << 30,
		StopTimeout: 3 * time.Second,
		LookupTTL:   time.Second,
		LeaseTTL:    10 * time.Second,
		DrainTime:   2 * time.Second,
		Bounds:      ingress.Bounds{ColdFactor: 1, ColdSlack: 10, RetryRatio: 0.5, RetrySlack: 20},
		Hedge:       w.hedge,
		Fields:      testFields,
		Pages:       Pages{Ready: "/ready", Lookup: "/lookup"},
		Translate:   w.translate,
		LookupRequest: func(q url.Values) Lookup {
			return Lookup{Domain: fleet.Domain(q.Get("d")), Region: fleet.Region(q.Get("r"))}
		},
		LookupAnswer: func(addrs []string, _ time.Duration) ([]byte, error) { return json.Marshal(addrs) },
	}
	s, err := Start(set, store, log)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.shutdown)
	return s
}

// registeredTargets returns the number of registered targets.
func (w *testEnv) registeredTargets() int {
	snap, err := w.store.Range(w.t.Context(), "test/target/", kv.Latest)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(snap.Items)
}

// hasTargets reports whether s has n targets.
func (s *Server) hasTargets(n int) bool {
	known := 0
	s.core.Query(func(_ clock.Time, r *ingress.Reducer) { known = r.TargetCount() })
	return known == n
}

// serviceStatus returns what s knows of the targets of the service.
func (s *Server) serviceStatus() (st ingress.ServiceStatus) {
	s.core.Query(func(now clock.Time, r *ingress.Reducer) { st = r.Status(now).Services["svc"] })
	return st
}

// eventually waits for a condition that other goroutines establish.
func (w *testEnv) eventually(what string, is func() bool) {
	w.t.Helper()
	for range 1000 {
		if is() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("not reached: %s", what)
}

// caller is one connection of a caller.
type caller struct {
	t    testing.TB
	conn net.Conn
	r    *bufio.Reader
}

func dial(t testing.TB, s *Server) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.callerServer.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{t: t, conn: c, r: bufio.NewReader(c)}
}

// sendRequest sends a request without a body.
func (c *caller) sendRequest(method, path, id string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Patience: 5000\r\n\r\n", method, path, testHost, id)
	if err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads an answer with its whole body.
func (c *caller) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return res, string(b)
}

// doRequest sends a request on a new connection and reads the answer.
func doRequest(t *testing.T, s *Server, method, path, id string) (*http.Response, string) {
	t.Helper()
	c := dial(t, s)
	c.sendRequest(method, path, id)
	return c.readResponse(method)
}

func TestRequestIsForwardedToTarget(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("hello"))
	s := w.startListed("vm-1")
	res, body := doRequest(t, s, http.MethodGet, "/a?b=c", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(res.Header.Get("X-Id"), "id-1")
}
