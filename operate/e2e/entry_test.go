package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/loopback"
	"github.com/azurethread/azurethread/standin/platform"
	"github.com/azurethread/azurethread/standin/target"
)

const testFleetKey = "a key for tests only, not a secret"

// The services of the tests.
const (
	calc = "calc-lookup" // idempotent
	fee  = "fee-posting" // not idempotent
)

func testServices() []catalogue.Service {
	return []catalogue.Service{
		{Name: calc, Idempotent: true, Priority: catalogue.Interactive},
		{Name: fee, Timeout: catalogue.Duration(time.Minute)},
	}
}

// stopTimeout is the longest time for the graceful stop of a daemon.
const stopTimeout = 20 * time.Second

// testSystem is a platform with entry VMs and targets, all in this process and
// on loopback. It is stopped at the end of the test.
type testSystem struct {
	tb       testing.TB
	platform *platform.Server
	store    daemon.Platform // passed to entry VMs when they start

	mu       sync.Mutex
	machines fleet.List
	daemons  map[fleet.VMID]*entryVM
	closers  []func() // stop the targets; called after the entry VMs have stopped
}

// entryVM is one entry VM of a testSystem.
type entryVM struct {
	*daemon.Daemon
	vm    fleet.VM
	flags []string
	log   *lockedBuffer
	ended bool // stopped or killed by the test
}

// lockedBuffer collects the log of a daemon.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newTestSystem starts a platform that holds a catalogue of services.
func newTestSystem(tb testing.TB, services []catalogue.Service) *testSystem {
	tb.Helper()
	sys := &testSystem{tb: tb, platform: platform.New(platform.Options{}), daemons: make(map[fleet.VMID]*entryVM)}
	sys.machines.Version = 1
	sys.store = sys.platform.Store()
	if err := sys.platform.Start("127.0.0.1:0"); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { sys.platform.Close() })
	tb.Cleanup(sys.stopAll)
	c := catalogue.Catalogue{Revision: 1, Services: services}
	if err := daemon.PutCatalogue(context.Background(), sys.platform.Store(), c); err != nil {
		tb.Fatal(err)
	}
	return sys
}

func (sys *testSystem) stopAll() {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	for _, e := range sys.daemons {
		if e.ended {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		if err := e.Stop(ctx); err != nil {
			sys.tb.Error(err)
		}
		cancel()
		if n := e.Violations(); n != 0 {
			sys.tb.Errorf("entry VM %s: %d broken invariants\n%s", e.vm.ID, n, e.log)
		}
	}
	for _, f := range sys.closers {
		f()
	}
}

// publish changes the machine list and passes it to the platform.
func (sys *testSystem) publish(change func(*fleet.List)) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	change(&sys.machines)
	sys.machines.Version++
	l := sys.machines
	l.VMs, l.Targets = slices.Clone(l.VMs), slices.Clone(l.Targets)
	sys.platform.SetMachines(l)
}

// regionOf returns the region of a failure domain such as "attiki-1".
func regionOf(d fleet.Domain) fleet.Region {
	r, _, _ := strings.Cut(string(d), "-")
	return fleet.Region(r)
}

// startTarget starts a stand-in target in a failure domain.
func (sys *testSystem) startTarget(domain fleet.Domain, o target.Options) *target.Server {
	sys.tb.Helper()
	o.Warm = true
	s := target.New(o)
	if err := s.Start("127.0.0.1:0"); err != nil {
		sys.tb.Fatal(err)
	}
	sys.closers = append(sys.closers, s.Close)
	sys.registerTarget(domain, s.Target())
	return s
}

// startHandlerTarget starts a target whose requests are handled by h.
func (sys *testSystem) startHandlerTarget(domain fleet.Domain, service fleet.ServiceName, h http.HandlerFunc) {
	sys.tb.Helper()
	s := httptest.NewServer(h)
	sys.closers = append(sys.closers, s.CloseClientConnections, s.Close)
	sys.registerTarget(domain, fleet.Target{
		ID:      fleet.TargetID(fmt.Sprintf("%s-%s-%s", domain, service, s.Listener.Addr())),
		Service: service, Addr: s.Listener.Addr().String(), Slots: 1024, Connections: 4096,
	})
}

// startRawTarget starts a target that reads one request from each connection,
// sends the bytes that answer returns, and closes the connection.
func (sys *testSystem) startRawTarget(domain fleet.Domain, service fleet.ServiceName, answer func(*http.Request) string) {
	sys.tb.Helper()
	sys.registerTarget(domain, fleet.Target{
		ID: "raw-" + fleet.TargetID(service), Service: service,
		Addr: rawTarget(sys.tb, answer), Slots: 64, Connections: 256,
	})
}

// registerTarget adds a target to the machine list.
func (sys *testSystem) registerTarget(domain fleet.Domain, t fleet.Target) {
	t.Region, t.Domain, t.Site = regionOf(domain), domain, fleet.Site(domain)
	sys.publish(func(l *fleet.List) { l.Targets = append(l.Targets, t) })
}

// startEntryVM starts an entry VM and waits until it has a configuration in
// force and has received the targets of its failure domain.
func (sys *testSystem) startEntryVM(id fleet.VMID, domain fleet.Domain, flags ...string) *entryVM {
	sys.tb.Helper()
	e := sys.startEntryVMNoWait(id, domain, flags...)
	waitFor(sys.tb, e.Ready)
	sys.awaitTargets(e)
	return e
}

// awaitTargets waits until an entry VM has received the targets of its failure
// domain.
func (sys *testSystem) awaitTargets(e *entryVM) {
	sys.tb.Helper()
	sys.mu.Lock()
	services := make(map[fleet.ServiceName]bool)
	for _, t := range sys.machines.Targets {
		if t.Domain == e.vm.Domain {
			services[t.Service] = true
		}
	}
	sys.mu.Unlock()
	waitFor(sys.tb, func() bool {
		var vars struct {
			Loads []struct {
				Service  fleet.ServiceName
				Capacity int
			} `json:"loads"`
		}
		readMetrics(sys.tb, e, &vars)
		known := 0
		for _, l := range vars.Loads {
			if services[l.Service] && l.Capacity > 0 {
				known++
			}
		}
		return known == len(services)
	})
}

// loopbackIPs is the number of loopback addresses of this process.
const loopbackIPs = 200

// entryVMs counts the entry VMs started by this process. Each has a loopback address
// of its own: on a shared one, a test that runs in parallel may be given a port that
// was chosen for this entry VM before it listens there.
var entryVMs atomic.Uint64

// startEntryVMNoWait starts an entry VM without waiting for its configuration.
func (sys *testSystem) startEntryVMNoWait(id fleet.VMID, domain fleet.Domain, flags ...string) *entryVM {
	sys.tb.Helper()
	a, err := loopback.Free(loopback.IP(int(entryVMs.Add(1)%loopbackIPs)), 3)
	if err != nil {
		sys.tb.Fatal(err)
	}
	vm := fleet.VM{
		ID: id, Region: regionOf(domain), Domain: domain, Site: fleet.Site(domain), Incarnation: 1,
		CallAddr: a[0], PeerAddr: a[1], AdminAddr: a[2],
	}
	sys.publish(func(l *fleet.List) { l.VMs = append(l.VMs, vm) })
	e := &entryVM{vm: vm, flags: flags}
	sys.runDaemon(e)
	return e
}

// runDaemon starts the daemon of an entry VM, for the first time or after it has
// ended.
func (sys *testSystem) runDaemon(e *entryVM) {
	sys.tb.Helper()
	e.log = &lockedBuffer{}
	e.Daemon = startDaemon(sys.tb, sys.store, e.log, append([]string{
		"--id=" + string(e.vm.ID), "--region=" + string(e.vm.Region), "--domain=" + string(e.vm.Domain),
		"--call-addr=" + e.vm.CallAddr, "--peer-addr=" + e.vm.PeerAddr, "--admin-addr=" + e.vm.AdminAddr,
	}, e.flags...))
	sys.mu.Lock()
	e.ended = false
	sys.daemons[e.vm.ID] = e
	sys.mu.Unlock()
}

// markEnded marks an entry VM as stopped or killed by the test.
func (sys *testSystem) markEnded(e *entryVM) {
	sys.mu.Lock()
	e.ended = true
	sys.mu.Unlock()
}

// entryOptions describes a single entry VM under test with its own platform.
type entryOptions struct {
	targets  []fleet.Target // region and domain are filled in
	services []catalogue.Service
	flags    []string // further settings
}

// startEntry runs a platform and one entry VM until the test ends, and returns
// when the entry VM has its configuration.
func startEntry(tb testing.TB, o entryOptions) *daemon.Daemon {
	tb.Helper()
	sys := newTestSystem(tb, o.services)
	for _, t := range o.targets {
		sys.registerTarget("attiki-1", t)
	}
	return sys.startEntryVM("a", "attiki-1", o.flags...).Daemon
}

func startDaemon(tb testing.TB, p daemon.Platform, out io.Writer, flags []string) *daemon.Daemon {
	tb.Helper()
	f := settings.Flags()
	err := f.Parse(append([]string{
		"--platform-url=http://127.0.0.1:1", "--fleet-key=" + testFleetKey, "--leave-delay=0s",
	}, flags...))
	if err != nil {
		tb.Fatal(err)
	}
	set, err := settings.Load(f)
	if err != nil {
		tb.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	d, err := daemon.Start(set, p, log)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// waitFor polls until ok returns true, and fails the test after about 20 s.
func waitFor(tb testing.TB, ok func() bool) {
	tb.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	tb.Fatal("timed out waiting for a condition")
}

// lookupBody has the fields of a look-up's answer that the tests use.
type lookupBody struct {
	Revision uint64 `json:"revision"`
	TTLMs    int64  `json:"ttl_ms"`
	Client   string `json:"client"`
	EntryVMs []struct {
		ID     fleet.VMID   `json:"id"`
		Addr   string       `json:"addr"`
		Region fleet.Region `json:"region"`
		Tokens []string     `json:"tokens"`
	} `json:"entry_vms"`
}

// lookup sends a look-up of a service to an entry VM, with n tokens for each
// entry VM of the answer.
func lookup(tb testing.TB, e *entryVM, service string, n int) lookupBody {
	tb.Helper()
	var p lookupBody
	a := get(tb, fmt.Sprintf("http://%s/v1/lookup?service=%s&tokens=%d", e.CallAddr(), service, n))
	if a.status != http.StatusOK {
		tb.Fatalf("look-up: status %d, %s", a.status, a.body)
	}
	a.decode(tb, &p)
	return p
}

// tokenOf returns a token for an entry VM from a look-up's answer.
func tokenOf(tb testing.TB, p lookupBody, id fleet.VMID) string {
	tb.Helper()
	for _, vm := range p.EntryVMs {
		if vm.ID == id && len(vm.Tokens) > 0 {
			return vm.Tokens[0]
		}
	}
	tb.Fatalf("no token for entry VM %s in %+v", id, p)
	return ""
}

// answer is a complete answer as received by a caller.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// decode decodes a JSON body.
func (a answer) decode(tb testing.TB, v any) {
	tb.Helper()
	if err := json.Unmarshal(a.body, v); err != nil {
		tb.Fatalf("%v in %q", err, a.body)
	}
}

func (a answer) verdict() string { return a.header.Get("Azurethread-Verdict") }
func (a answer) reason() string  { return a.header.Get("Azurethread-Reason") }

// callTimeout is far above the time of any request of the tests.
const callTimeout = 60 * time.Second

// send sends a request on a new connection. The error is one of the transport,
// for example because the answer was incomplete.
func send(method, url string, h http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for k, v := range h {
		r.Header[k] = v
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	res, err := tr.RoundTrip(r)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, b}, err
}

// call sends a request to a service through an entry VM and fails the test
// if there is no complete answer.
func call(tb testing.TB, e *entryVM, method, service, path string, h http.Header, body []byte) answer {
	tb.Helper()
	a, err := send(method, "http://"+e.CallAddr()+"/v1/call/"+service+path, h, body)
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

func get(tb testing.TB, url string) answer {
	tb.Helper()
	a, err := send(http.MethodGet, url, nil, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

// readMetrics reads an entry VM's metrics. It keeps its connection open, because
// a few answers are lost if the connection is closed after each one
// (TestAdministrationAnswersArrive).
func readMetrics(tb testing.TB, e *entryVM, v any) {
	tb.Helper()
	res, err := http.Get("http://" + e.AdminAddr() + "/debug/vars")
	if err != nil {
		tb.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		tb.Fatal(err)
	}
}

// metric returns the value of one of an entry VM's metrics.
func metric(tb testing.TB, e *entryVM, name string) int64 {
	tb.Helper()
	var vars map[string]json.RawMessage
	readMetrics(tb, e, &vars)
	var n int64
	if err := json.Unmarshal(vars[name], &n); err != nil {
		tb.Fatalf("metric %s: %v", name, err)
	}
	return n
}
