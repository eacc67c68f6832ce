package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/standin/unsolicited"
)

// unsolicitedTarget is a target that runs or rejects requests, and sends bytes that no request
// caused.
type unsolicitedTarget struct {
	ran    *executions
	forms  []unsolicited.Form
	place  unsolicited.Place
	oneIn  int  // of the answers, the share after which something is sent, beside the first ones
	reject int  // of the requests, as one in so many, the share that is rejected; 0: none
	whole  bool // forms are not cut
	sent   *atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// draw returns what is to be sent for a request, nil if nothing is, and whether the request is
// rejected.
func (u *unsolicitedTarget) draw() (b []byte, rejected bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rng.IntN(u.oneIn) == 0 || u.sent.Load() == 0 {
		if b = unsolicited.Draw(u.rng, u.forms); u.whole {
			b = []byte(u.forms[0].Bytes)
		}
	}
	return b, u.reject > 0 && u.rng.IntN(u.reject) == 0
}

// ServeHTTP implements http.Handler.
func (u *unsolicitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := unsolicited.Received(r)
	b, rejected := u.draw()
	c.SendAt(u.place, b, func() { u.sent.Add(1) })
	if rejected {
		w.Header().Set(testFields.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ran.add(r.Header.Get(testFields.RequestID))
	time.Sleep(5 * time.Millisecond)
	respondOK(r.Header.Get(testFields.RequestID))(w, r)
}

// testForms are the forms of bytes that no request caused, in the tests' fields.
var testForms = unsolicited.Fields{
	RequestID: testFields.RequestID, NotRun: testFields.NotRun + ": 1", Instance: testFields.Instance, Stamp: testFields.Stamp,
}.Forms()

// formsNamed returns the forms of testForms whose name begins with name.
func formsNamed(name string) []unsolicited.Form {
	return slices.DeleteFunc(slices.Clone(testForms), func(f unsolicited.Form) bool { return !strings.HasPrefix(f.Name, name) })
}

// startUnsolicited starts a target in a failure domain.
func (w *testEnv) startUnsolicited(d fleet.Domain, id string, u *unsolicitedTarget) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: u, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return unsolicited.WithConn(ctx, c.(*unsolicited.Conn))
	}}
	go func() { _ = srv.Serve(unsolicited.Listener{Listener: ln}) }() // ends with Close
	w.t.Cleanup(func() { _ = srv.Close() })
	w.registerTargetIn(d, id, ln.Addr().String())
}

// promises counts the promises that answers to requests break.
type promises struct {
	ran *executions

	mu      sync.Mutex
	refused []string // the requests, not idempotent, that were answered as not run
	broken  map[string]int
	served  int
}

func (p *promises) note(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = make(map[string]int)
	}
	p.broken[what]++
}

// check records the answer to a request.
func (p *promises) check(id string, idempotent bool, res *http.Response, body string) {
	switch {
	case res.Header.Get(unsolicited.Marker) != "" || (res.StatusCode == http.StatusOK && body != id):
		p.note("answers that are not the request's")
	case res.StatusCode == http.StatusOK:
		p.mu.Lock()
		p.served++
		p.mu.Unlock()
	case statusMeansNotRun(res.StatusCode) && !idempotent:
		p.mu.Lock()
		p.refused = append(p.refused, id)
		p.mu.Unlock()
	}
	if !idempotent && p.ran.of(id) > 1 {
		p.note("requests that ran twice")
	}
}

// report fails the test if a promise was broken.
func (p *promises) report(t *testing.T) {
	time.Sleep(50 * time.Millisecond) // what was refused must not run later either
	for _, id := range p.refused {
		if p.ran.of(id) > 0 {
			p.note("requests that were refused as not run and ran")
		}
	}
	for what, n := range p.broken {
		t.Errorf("%d %s", n, what)
	}
}

// unsolicitedCalls sends requests from several callers: a third is idempotent if reads is set.
func unsolicitedCalls(t *testing.T, s *Server, p *promises, callers, each int, reads bool) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			c := dial(t, s)
			for i := range each {
				id, path := fmt.Sprint(n, "-", i), "/x"
				if reads && i%3 == 0 {
					path = "/read/x"
				}
				c.sendRequest(http.MethodPost, path, id)
				res, body := c.readResponse(http.MethodPost)
				p.check(id, path != "/x", res, body)
			}
		})
	}
	wg.Wait()
}

// readRoute is a route for idempotent requests.
func readRoute() route.Route {
	r := catchAllRoute(true)
	r.Name, r.Prefix = "read", "/read/"
	return r
}

// Guards against requests that are answered as not run and have run, run twice, or get an
// answer that is not theirs, because a target sends bytes that no request caused: they have
// any form, and come at any place behind an answer.
func TestUnsolicitedBytesBreakNoPromise(t *testing.T) {
	for _, at := range unsolicited.Places() {
		for _, form := range []string{"rejection", "misdirection", "failure", "head", ""} {
			t.Run(fmt.Sprintf("%s %s", form, at), func(t *testing.T) {
				w := newTestEnv(t, catchAllRoute(false), readRoute())
				p := &promises{ran: new(executions)}
				var sent atomic.Int64
				for n := range 3 {
					w.startUnsolicited("d1", fmt.Sprint("t", n), &unsolicitedTarget{
						ran: p.ran, forms: formsNamed(form), place: at, oneIn: 5, reject: 12, sent: &sent,
						rng: rand.New(rand.NewPCG(uint64(n), 75)),
					})
				}
				unsolicitedCalls(t, w.startListed("vm-1"), p, 12, 60, true)
				p.report(t)
				is := is.New(t)
				is.True(sent.Load() > 0)
				is.True(p.served > 0)
				t.Logf("%d of %d served, %d refused, %d times unsolicited bytes", p.served, 12*60, len(p.refused), sent.Load())
			})
		}
	}
}

// Guards against a target that is taken out of use, and requests that are given up, because a
// target sends a 421 that no request caused.
func TestUnsolicitedMisdirectionLeavesTargetInUse(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	p := &promises{ran: new(executions)}
	var sent atomic.Int64
	w.startUnsolicited("d1", "t1", &unsolicitedTarget{
		ran: p.ran, forms: formsNamed("misdirection"), place: unsolicited.Due, oneIn: 3, whole: true, sent: &sent,
		rng: rand.New(rand.NewPCG(1, 75)),
	})
	const requests = 60
	s := w.startListed("vm-1")
	unsolicitedCalls(t, s, p, 1, requests, false)
	p.report(t)
	is.Equal(p.served, requests)
	is.True(sent.Load() > 0)
	is.Equal(s.metrics.targetStateChanges.Get("address taken over"), nil)
}

// Guards against a gateway that gives a request's name to a rejection which is nobody's.
func TestUnsolicitedBytesBreakNoPromiseThroughAGateway(t *testing.T) {
	for _, at := range unsolicited.Places() {
		t.Run(at.String(), func(t *testing.T) {
			w := newTestEnv(t, catchAllRoute(false), readRoute())
			p := &promises{ran: new(executions)}
			var sent atomic.Int64
			for n := range 3 {
				w.startUnsolicited("far", fmt.Sprint("t", n), &unsolicitedTarget{
					ran: p.ran, forms: testForms, place: at, oneIn: 5, reject: 12, sent: &sent,
					rng: rand.New(rand.NewPCG(uint64(n), 75)),
				})
			}
			near, gate := w.startTwoRegions()
			unsolicitedCalls(t, near, p, 12, 60, true)
			p.report(t)
			is := is.New(t)
			is.True(sent.Load() > 0)
			is.True(p.served > 12*60/2)
			is.True(gate.metrics.forwarded.Value() > 12*60/2)
		})
	}
}
