package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quarantine"
)

const crashPath = "/deadly"

// startCrashingTarget registers a target that crashes when it gets a request for
// crashPath: it closes its connections and its listener.
func (w *testEnv) startCrashingTarget(id string, crashes *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	var mu sync.Mutex
	var open []net.Conn
	end := func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}
	w.t.Cleanup(end)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go serveUntilCrash(c, func() {
				crashes.Add(1)
				end()
			})
		}
	}()
	w.registerTarget(id, ln.Addr().String())
}

// serveUntilCrash answers requests until one is for crashPath.
func serveUntilCrash(c net.Conn, end func()) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, crashPath) {
			end()
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get(testFields.RequestID))
	}
}

// quarantineCount returns the number of fingerprints in quarantine at s.
func (s *Server) quarantineCount() int {
	n := 0
	s.core.Query(func(now clock.Time, r *ingress.Reducer) { n = r.Status(now).Quarantined })
	return n
}

// Guards against a request that crashes the targets of all entry VMs: each of
// them would send it until it has seen enough crashes itself.
func TestQueryOfDeathIsKeptAwayByAllEntryVMs(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	var crashes atomic.Int32
	for n := range 8 {
		w.startCrashingTarget(fmt.Sprintf("t%d", n), &crashes)
	}
	log := new(logBuffer)
	w.log = log
	vms := []*Server{w.startListed("vm-1"), w.startListed("vm-2"), w.startListed("vm-3")}
	for _, s := range vms {
		w.eventually("all entry VMs know each other", func() bool { return len(s.members.Load().vms) == len(vms) })
	}
	for n := 0; vms[0].quarantineCount() == 0; n++ {
		if n == 10 {
			t.Fatalf("%d targets have crashed and no request is in quarantine", crashes.Load())
		}
		res, _ := doRequest(t, vms[n%len(vms)], http.MethodGet, crashPath, "deadly-"+strconv.Itoa(n))
		is.True(res.StatusCode >= http.StatusInternalServerError)
	}
	for _, s := range vms {
		w.eventually("all entry VMs have it in quarantine", func() bool { return s.quarantineCount() == 1 })
	}
	crashed := crashes.Load()
	is.True(crashed <= quarantine.QuarantineThreshold+1) // one more may have been in flight

	for n, s := range vms {
		id := "late-" + strconv.Itoa(n)
		res, _ := doRequest(t, s, http.MethodGet, crashPath, id)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.True(res.Header.Get("Retry-After") != "")
		is.Equal(string(log.requestLine(w, id).Reason), "quarantined")
		res, _ = doRequest(t, s, http.MethodGet, "/other", "other-"+strconv.Itoa(n))
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(crashes.Load(), crashed)
}

// Guards against an entry VM that sends a quarantined request to targets because
// it was not running when the request was quarantined, and against quarantines
// that operators cannot lift.
func TestQuarantineIsReadFromTheStore(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	var crashes atomic.Int32
	for n := range 8 {
		w.startCrashingTarget(fmt.Sprintf("t%d", n), &crashes)
	}
	first := w.startListed("vm-1")
	for n := 0; first.quarantineCount() == 0 && n < 10; n++ {
		doRequest(t, first, http.MethodGet, crashPath, "deadly-"+strconv.Itoa(n))
	}
	f := quarantine.FingerprintOf(quarantine.Content{Method: http.MethodGet, Host: testHost, URI: crashPath})
	key := prefixQuarantine + f.String()
	w.eventually("it is in the store", func() bool {
		_, kept := w.store.Get(key)
		return kept
	})
	later := w.startListed("vm-2")
	w.eventually("the later entry VM has it in quarantine", func() bool { return later.quarantineCount() == 1 })
	w.store.Remove(key)
	for _, s := range []*Server{first, later} {
		w.eventually("it is lifted", func() bool { return s.quarantineCount() == 0 })
	}
	w.store.Put(key, "no record")
	w.store.Put(prefixQuarantine+"zz", "{}")
	w.startTarget("whole", respondOK("ok"))
	w.eventually("targets are read after invalid records", func() bool { return later.hasTargets(9) })
	is.Equal(later.quarantineCount(), 0)
}

// Guards against taking a closed connection for a crash of its target.
func TestCheckListening(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.Equal(checkListening(addr, targetConnectTimeout), ingress.ListeningYes)
	is.NoErr(ln.Close())
	is.Equal(checkListening(addr, targetConnectTimeout), ingress.ListeningNo)
	is.Equal(checkListening("127.0.0.1:none", targetConnectTimeout), ingress.ListeningUnknown)
}
