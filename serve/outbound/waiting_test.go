package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// gate lets dials pass one by one.
type gate struct {
	pass  chan struct{}
	dials atomic.Int64
}

// gatedPool is a pool whose second and later dials wait at a gate.
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

// answerOnSignal answers each request when told to, on connections that number
// themselves in the order in which they are accepted.
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

// Symptom: requests to other regions wait two crossings longer than they need
// to, and when requests end those that wait are nearly all that still reaches
// targets.
// Sequence: a request to a target is under way, and a second one has a
// connection opened; the first is answered long before that is open.
// Cause: a request that waits for its own connection didn't take one that was
// free.
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
	o := <-second // its dial is still at the gate
	is.True(o.err == nil)
	is.Equal(o.a.Connected, time.Duration(0))
	is.True(o.a.Waited > 0)
	is.Equal(p.Connections(addr), 1)
	close(g.pass)
	for p.Connections(addr) < 2 { // the one that was opened is kept
		time.Sleep(time.Millisecond)
	}
	answer <- struct{}{}
	_, third := send(p, addr)
	o = <-third
	is.True(o.err == nil)
	is.Equal(o.a.Waited, time.Duration(0))
	is.Equal(g.dials.Load(), int64(2))
}

// Symptom: a request fails with connect-failed although its target has answered
// it.
// Sequence: a waiting request takes a freed connection; then its own dial fails.
// Cause: the failed dial ended whatever request it had been begun for.
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
	for !k2.attached() { // the first to wait has the connection
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

// Symptom: a request is answered by nobody until its deadline, beside a free
// connection.
// Sequence: a request that waits is cancelled; the connection that is freed is
// meant for it, and another request waits too.
// Cause: a freed connection was offered once, to a request that had ended.
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

// Symptom: connections to targets of other regions are opened anew although
// the targets keep the old ones.
// Sequence: a target says that it keeps free connections for ten seconds; one is
// wanted after seven.
// Cause: only six tenths of that time were used.
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

// Symptom: an entry VM keeps a record of every receiver that it ever had.
// Sequence: a request asks for a new connection; that ends.
// Cause: the end of its dial was counted and its beginning was not, so the
// receiver never counted as unused.
func TestReceiverForgottenAfterNewConnection(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool(t)
	ch := make(chan outcome, 1)
	r := &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, Fresh: true}
	p.Do(addr, r, func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
	is.True((<-ch).err == nil)
	awaitNoConnections(p, addr)
	p.inUse()
	is.True(p.find(addr) == nil)
}

// Symptom: of the requests to a target that is in steady use some wait for a
// connection all the same.
// Sequence: a request takes the only free connection; another one comes before
// it is answered.
// Cause: a connection was opened only once a request waited for it.
func TestSpareConnection(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{}, 3)
	addr := receiver(t, answerOnSignal(answer))
	p := newPool(t)
	spared := func() <-chan outcome {
		ch := make(chan outcome, 1)
		r := &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, Spare: true}
		p.Do(addr, r, func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
		return ch
	}
	answer <- struct{}{}
	is.True((<-spared()).err == nil)
	is.Equal(p.Connections(addr), 1) // a receiver that is used once needs no other
	second := spared()
	for p.find(addr).free() < 1 {
		time.Sleep(time.Millisecond)
	}
	third := spared()
	answer <- struct{}{}
	answer <- struct{}{}
	for _, ch := range []<-chan outcome{second, third} {
		o := <-ch
		is.True(o.err == nil)
		is.Equal(o.a.Waited, time.Duration(0))
	}
}
