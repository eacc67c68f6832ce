package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/standin/link"
)

const testAckTimeout = 1500 * time.Millisecond

func newPathPool(t *testing.T) *Pool {
	t.Helper()
	p, err := NewPool(Options{
		DialTimeout:    time.Second,
		IdleTimeout:    time.Minute,
		AckTimeout:     testAckTimeout,
		MaxAnswerBytes: 1 << 20,
		Now:            func() clock.Time { return clock.FromWall(time.Now()) },
		Dial:           net.DialTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// swallow makes the kernel drop every segment that arrives for c, as a path does that has
// lost its state: nothing is acknowledged and nothing is reset.
func swallow(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	acceptNothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	filter := unix.SockFprog{Len: 1, Filter: &acceptNothing}
	_ = raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	if err != nil {
		t.Error(err)
	}
}

// restore ends the effect of swallow.
func restore(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}
	if err != nil {
		t.Error(err)
	}
}

// Guards against uploads that are broken off because their receiver reads nothing for longer
// than its kernel may leave bytes unacknowledged, and against ones that wait for their
// deadline on a path that swallows everything.
func TestSlowReaderIsNoDeadPath(t *testing.T) {
	const (
		bodySize = 1 << 20
		paused   = 4 * testAckTimeout
	)
	readAll := func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err == nil {
			_, _ = io.WriteString(c, okAnswer)
		}
	}
	forever := make(chan struct{})
	t.Cleanup(func() { close(forever) })
	for name, tc := range map[string]struct {
		serve func(c net.Conn, r *bufio.Reader)
		most  time.Duration // until the failure; 0: the request is answered
	}{
		"reads late": {func(c net.Conn, r *bufio.Reader) {
			time.Sleep(paused)
			readAll(c, r)
		}, 0},
		"reads a part now and then": {func(c net.Conn, r *bufio.Reader) {
			slow := bufio.NewReader(&link.PausingReader{From: r, Every: bodySize / 4, Pause: 2 * testAckTimeout})
			readAll(c, slow)
		}, 0},
		"path is dead": {func(c net.Conn, _ *bufio.Reader) {
			<-forever
		}, 2 * testAckTimeout},
		"path dies while the window is closed": {func(c net.Conn, _ *bufio.Reader) {
			time.Sleep(2 * testAckTimeout)
			swallow(t, c)
			<-forever
		}, 5 * testAckTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			accepted := make(chan struct{})
			addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
				if name == "path is dead" {
					swallow(t, c)
				}
				close(accepted)
				tc.serve(c, r)
			})
			p := newPathPool(t)
			nc, err := net.Dial("tcp", addr)
			is.NoErr(err)
			<-accepted
			p.opts.Dial = func(string, string, time.Duration) (net.Conn, error) { return nc, nil }
			ch := make(chan outcome, 1)
			began := time.Now()
			p.Do(addr, &Request{Method: http.MethodPut, URI: "/", Header: http.Header{}, Body: make([]byte, bodySize)},
				func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
			o := <-ch
			if tc.most == 0 {
				is.Equal(o.err, nil)
				is.Equal(o.a.Status, http.StatusOK)
				return
			}
			is.True(o.err != nil)
			is.Equal(o.err.Verdict, verdict.MayHaveRun)
			is.True(time.Since(began) < tc.most)
		})
	}
}

// Guards against a request that is broken off because the receiver has paused in an earlier one
// on the same connection.
func TestStalledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	connections := make(chan int, 4)
	addr := receiver(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections <- n
		_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
		time.Sleep(2 * pathCheckInterval)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	p := newPathPool(t)
	for range 2 {
		ch := make(chan outcome, 1)
		p.Do(addr, &Request{Method: http.MethodPut, URI: "/", Header: http.Header{}, Body: make([]byte, 1<<20)},
			func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
		is.Equal((<-ch).err, nil)
	}
	is.Equal(len(connections), 2)
}

// Guards against a request that runs long after it was cancelled: a broken path held it up,
// and the kernel delivered it when the path worked again.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	is := is.New(t)
	broken, works := make(chan struct{}), make(chan struct{})
	received := make(chan bool, 1)
	addr := receiver(t, func(n int, c net.Conn, r *bufio.Reader) {
		swallow(t, c)
		close(broken)
		<-works
		restore(t, c)
		_, err := http.ReadRequest(r)
		received <- err == nil
	})
	p := newPathPool(t)
	ch := make(chan outcome, 1)
	done := func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} }
	nc, err := net.Dial("tcp", addr)
	is.NoErr(err)
	<-broken
	p.opts.Dial = func(string, string, time.Duration) (net.Conn, error) { return nc, nil } // opened before
	k := p.Do(addr, &Request{Method: http.MethodPost, URI: "/", Header: http.Header{}}, done)
	time.Sleep(100 * time.Millisecond)
	k.Cancel(verdict.ReasonCallerGone)
	is.Equal((<-ch).err.Verdict, verdict.MayHaveRun)
	time.Sleep(50 * time.Millisecond)
	close(works)
	select {
	case whole := <-received:
		is.True(!whole)
	case <-time.After(3 * time.Second): // longer than the kernel waits before it tries again
	}
}
