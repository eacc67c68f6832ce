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

const deadlyPath = "/deadly"

// mortalTarget registers a target whose process ends when it gets a request for
// deadlyPath: its connections end and nobody listens at its address.
func (w *world) mortalTarget(id string, ends *atomic.Int32) {
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
			go serveUntilDeadly(c, func() {
				ends.Add(1)
				end()
			})
		}
	}()
	w.register(id, ln.Addr().String())
}

// serveUntilDeadly answers requests until one is for deadlyPath.
func serveUntilDeadly(c net.Conn, end func()) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, deadlyPath) {
			end()
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get(testFields.RequestID))
	}
}

// keptAway counts the fingerprints that s keeps away from targets.
func (s *Server) keptAway() int {
	n := 0
	s.core.Ask(func(now clock.Time, r *ingress.Reducer) { n = r.Status(now).Quarantined })
	return n
}

// A request that ends the targets that run it takes those of all entry VMs, as
// each of them learns for itself what it does.
func TestQueryOfDeathIsKeptAwayByAllEntryVMs(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	var ends atomic.Int32
	for n := range 8 {
		w.mortalTarget(fmt.Sprintf("t%d", n), &ends)
	}
	log := new(lines)
	w.log = log
	vms := []*Server{w.entry("vm-1"), w.entry("vm-2"), w.entry("vm-3")}
	for _, s := range vms {
		w.eventually("all entry VMs know each other", func() bool { return len(s.members.Load().vms) == len(vms) })
	}
	for n := 0; vms[0].keptAway() == 0; n++ {
		if n == 10 {
			t.Fatalf("%d targets have ended and nothing is kept away", ends.Load())
		}
		res, _ := ask(t, vms[n%len(vms)], http.MethodGet, deadlyPath, "deadly-"+strconv.Itoa(n))
		is.True(res.StatusCode >= http.StatusInternalServerError)
	}
	for _, s := range vms {
		w.eventually("all entry VMs keep it away", func() bool { return s.keptAway() == 1 })
	}
	ended := ends.Load()
	is.True(ended <= quarantine.MaxEnds+1) // one may have been on its way

	for n, s := range vms {
		id := "late-" + strconv.Itoa(n)
		res, _ := ask(t, s, http.MethodGet, deadlyPath, id)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.True(res.Header.Get("Retry-After") != "")
		is.Equal(string(log.of(w, id).Reason), "quarantined")
		res, _ = ask(t, s, http.MethodGet, "/other", "other-"+strconv.Itoa(n))
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(ends.Load(), ended)
}

// An entry VM that was not there when a request came into quarantine sends it to
// its targets, and operators cannot lift a quarantine.
func TestQuarantineIsReadFromTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	var ends atomic.Int32
	for n := range 8 {
		w.mortalTarget(fmt.Sprintf("t%d", n), &ends)
	}
	first := w.entry("vm-1")
	for n := 0; first.keptAway() == 0 && n < 10; n++ {
		ask(t, first, http.MethodGet, deadlyPath, "deadly-"+strconv.Itoa(n))
	}
	f := quarantine.FingerprintOf(quarantine.Content{Method: http.MethodGet, Host: testHost, URI: deadlyPath})
	key := prefixQuarantine + f.String()
	w.eventually("it is in the store", func() bool {
		_, kept := w.store.Get(key)
		return kept
	})
	later := w.entry("vm-2")
	w.eventually("the later entry VM keeps it away", func() bool { return later.keptAway() == 1 })
	w.store.Remove(key)
	for _, s := range []*Server{first, later} {
		w.eventually("it is lifted", func() bool { return s.keptAway() == 0 })
	}
	w.store.Put(key, "no record")
	w.store.Put(prefixQuarantine+"zz", "{}")
	w.target("whole", ok("ok"))
	w.eventually("targets are read after what is no record", func() bool { return later.knows(9) })
	is.Equal(later.keptAway(), 0)
}

// The end of one connection is taken for the end of its target.
func TestListening(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.Equal(listening(addr, targetConnect), ingress.ListeningYes)
	is.NoErr(ln.Close())
	is.Equal(listening(addr, targetConnect), ingress.ListeningNo)
	is.Equal(listening("127.0.0.1:none", targetConnect), ingress.ListeningUnknown)
}
