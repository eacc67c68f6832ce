package outbound

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// gate blocks dials until they are let through one by one.
type gate struct {
	pass  chan struct{}
	dials atomic.Int64
}

// gatedPool returns a pool whose second and later dials wait at a gate.
func gatedPool(t *testing.T, dial func(network, addr string, d time.Duration) (net.Conn, error)) (*Pool, *gate) {
	t.Helper()
	g := &gate{pass: make(chan struct{})}
	p, err := NewPool(Options{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 1 << 20,
		Now: func() clock.Time { return clock.FromWall(time.Now()) },
		Dial: func(network, addr string, d time.Duration) (net.Conn, error) {
			if g.dials.Add(1) > 1 {
				<-g.pass
			}
			return dial(network, addr, d)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, g
}

// answerOnSignal answers a request for each value received from answer.
func answerOnSignal(answer <-chan struct{}) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			<-answer
			if _, err := io.WriteString(c, okAnswer); err != nil {
				return
			}
		}
	}
}

// Guards against requests to other regions that wait two one-way delays longer
// than they need to; when a load ends, nearly all requests that still reach
// targets have waited like this. A connection is being opened for a second
// request while the first is in flight, and the first is answered long before
// that connection is open: the waiting request must use the freed one.
func TestWaitingRequestUsesFreedConnection(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{}, 2)
	addr := receiver(t, answerOnSignal(answer))
	p, g := gatedPool(t, net.DialTimeout)
	k, first := send(p, addr)
	for !k.attached() {
		time.Sleep(time.Millisecond)
	}
	_, second := send(p, addr)
	answer <- struct{}{}
	is.True((<-first).err == nil)
	answer <- struct{}{}
	o := <-second // its dial still waits at the gate
	is.True(o.err == nil)
	is.Equal(o.a.ConnectTime, time.Duration(0))
	is.True(o.a.ConnectionWait > 0)
	is.Equal(p.Connections(addr), 1)
	close(g.pass)
	for p.Connections(addr) < 2 { // the newly opened connection is kept
		time.Sleep(time.Millisecond)
	}
	answer <- struct{}{}
	_, third := send(p, addr)
	o = <-third
	is.True(o.err == nil)
	is.Equal(o.a.ConnectionWait, time.Duration(0))
	is.Equal(g.dials.Load(), int64(2))
}

// Guards against a request that fails with connect-failed although its target
// has answered it: it takes a freed connection while it waits, then its own
// dial fails, and that ended the request for which it had been started.
func TestFailedDialFailsOnlyWaitingRequest(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{}, 3)
	addr := receiver(t, answerOnSignal(answer))
	var failing atomic.Bool
	p, g := gatedPool(t, func(network, addr string, d time.Duration) (net.Conn, error) {
		if failing.Load() {
			return nil, errMalformedHead
		}
		return net.DialTimeout(network, addr, d)
	})
	k, first := send(p, addr)
	for !k.attached() {
		time.Sleep(time.Millisecond)
	}
	k2, second := send(p, addr)
	_, third := send(p, addr)
	answer <- struct{}{}
	is.True((<-first).err == nil)
	for !k2.attached() { // the request that waited longest has the connection
		time.Sleep(time.Millisecond)
	}
	failing.Store(true)
	g.pass <- struct{}{} // the dial of the second, or of the third
	g.pass <- struct{}{}
	o := <-third
	is.Equal(o.err.Verdict, verdict.NotRun)
	is.Equal(o.err.Reason, verdict.ReasonConnect)
	answer <- struct{}{}
	is.True((<-second).err == nil)
}

// Guards against a request that gets no answer before its deadline although a
// connection is idle: a freed connection was offered only once, to a waiting
// request that had been cancelled, and not to the next one.
func TestCancelledRequestGivesUpItsTurn(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{}, 2)
	addr := receiver(t, answerOnSignal(answer))
	p, g := gatedPool(t, net.DialTimeout)
	defer close(g.pass)
	k, first := send(p, addr)
	for !k.attached() {
		time.Sleep(time.Millisecond)
	}
	k2, second := send(p, addr)
	_, third := send(p, addr)
	k2.Cancel(verdict.ReasonCallerGone)
	is.Equal((<-second).err.Verdict, verdict.NotRun)
	answer <- struct{}{}
	is.True((<-first).err == nil)
	answer <- struct{}{}
	is.True((<-third).err == nil)
}

// Guards against opening connections to targets of other regions anew although
// the targets keep the old ones: a target says that it keeps idle connections
// for ten seconds and one is needed after seven, when only six tenths of that
// time were used.
func TestMaxIdleTime(t *testing.T) {
	for stated, used := range map[time.Duration]time.Duration{
		10 * time.Second:       9 * time.Second,
		5 * time.Second:        4 * time.Second,
		2 * time.Second:        1200 * time.Millisecond,
		time.Second:            600 * time.Millisecond,
		0:                      time.Minute, // not stated: as long as the pool allows
		100 * time.Second:      time.Minute,
		500 * time.Millisecond: 300 * time.Millisecond,
	} {
		is := is.New(t)
		is.Equal(maxIdleTime(stated, time.Minute), used)
	}
}

// Guards against an entry VM that keeps a record of every receiver it ever had:
// a request asks for a new connection, which later closes. The end of its dial
// was counted but not its start, so the receiver never counted as unused.
func TestReceiverForgottenAfterNewConnection(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool(t)
	ch := make(chan outcome, 1)
	r := &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, NewConnection: true}
	p.Do(addr, r, func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
	is.True((<-ch).err == nil)
	awaitNoConnections(p, addr)
	p.inUse()
	is.True(p.find(addr) == nil)
}

// Guards against requests to a target in steady use that wait for a connection:
// one request takes the only idle connection and another comes before it is
// answered. A connection was opened only once a request waited for it.
func TestSpareConnection(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{}, 3)
	addr := receiver(t, answerOnSignal(answer))
	p := newPool(t)
	spared := func() <-chan outcome {
		ch := make(chan outcome, 1)
		r := &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, KeepSpare: true}
		p.Do(addr, r, func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
		return ch
	}
	answer <- struct{}{}
	is.True((<-spared()).err == nil)
	is.Equal(p.Connections(addr), 1) // a receiver used only once needs no spare
	second := spared()
	for p.find(addr).idleCount() < 1 {
		time.Sleep(time.Millisecond)
	}
	third := spared()
	answer <- struct{}{}
	answer <- struct{}{}
	for _, ch := range []<-chan outcome{second, third} {
		o := <-ch
		is.True(o.err == nil)
		is.Equal(o.a.ConnectionWait, time.Duration(0))
	}
}

// Guards against a request that is reported as not run and is written later: it is withdrawn
// or cancelled while it gets a connection.
func TestWithdrawnRequestsAreNotWritten(t *testing.T) {
	const requests = 2000
	var mu sync.Mutex
	received := make(map[string]bool)
	addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			received[req.URL.Path] = true
			mu.Unlock()
			if _, err := io.WriteString(c, okAnswer); err != nil {
				return
			}
		}
	})
	p := newPool(t)
	var ended sync.WaitGroup
	outcomes := make([]outcome, requests)
	for i := range requests {
		ended.Add(1)
		k := p.Do(addr, &Request{Method: http.MethodGet, URI: fmt.Sprint("/", i), Header: http.Header{}}, func(a *Answer, err *verdict.Error) {
			outcomes[i] = outcome{a, err}
			ended.Done()
		})
		withdraw := func() { k.CancelUnsent(verdict.ReasonUnavailable) }
		if i%2 == 0 {
			withdraw = func() { k.Cancel(verdict.ReasonCallerGone) }
		}
		time.AfterFunc(rand.N(400*time.Microsecond), withdraw)
		if i%40 == 0 {
			time.Sleep(rand.N(time.Millisecond))
		}
	}
	ended.Wait()
	time.Sleep(50 * time.Millisecond) // for what was written
	mu.Lock()
	defer mu.Unlock()
	notRun := 0
	for i, o := range outcomes {
		if o.err == nil || o.err.Verdict != verdict.NotRun {
			continue
		}
		notRun++
		if received[fmt.Sprint("/", i)] {
			t.Errorf("request %d was reported as not run (%v) and was received", i, o.err)
		}
	}
	if notRun == 0 {
		t.Error("no request was withdrawn in time")
	}
	t.Logf("%d of %d requests were withdrawn in time", notRun, requests)
}
