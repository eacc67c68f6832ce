package outbound

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newCall() (*Call, <-chan outcome) {
	ch := make(chan outcome, 2)
	r := &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}}
	return &Call{req: r, done: func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} }}, ch
}

// awaitNoConnections waits until no connection to addr is counted as open.
func awaitNoConnections(p *Pool, addr string) {
	for p.Connections(addr) > 0 {
		time.Sleep(time.Millisecond)
	}
}

func (pe *peer) idleCount() int {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return len(pe.idle)
}

// Guards against a request that gets an answer not made for it, on a connection
// then assigned to two requests at once. The receiver writes an answer as soon
// as it accepts, and the poller reads it before the request is written. The
// connection already belongs to the request while it is set up: the answer
// released it once, and the unwritten request would release it again.
func TestAnswerBeforeRequest(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, okAnswer)
		_, _ = r.ReadByte()
	})
	p := newPool(t)
	k, ch := newCall()
	pe, _ := p.claim(addr, k)
	c, _, err := pe.connect(k)
	is.NoErr(err)
	o := <-ch
	c.start(k)
	is.True(o.err != nil)
	is.Equal(o.err.Verdict, verdict.NotRun)
	awaitNoConnections(p, addr)
	is.Equal(pe.idleCount(), 0)
}

// Guards against reporting a submission that was never written as may-have-run,
// so that it is not sent elsewhere. An idle connection is claimed and closes
// before the request is written; its close was taken for the loss of a written
// request.
func TestLostBeforeWritten(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	p := newPool(t)
	_, first := send(p, addr)
	is.True((<-first).err == nil)
	k, ch := newCall()
	pe, c := p.claim(addr, k)
	is.True(c != nil)
	is.NoErr(c.nbc.Close())
	o := <-ch
	c.start(k)
	is.Equal(o.err.Verdict, verdict.NotRun)
	is.Equal(o.err.Reason, verdict.ReasonConnectionLost)
	is.Equal(pe.idleCount(), 0)
}

// Guards against a submission whose outcome is unknown although it was never sent: its
// receiver says on an idle connection that it closes it, and the connection is claimed
// before that is acted on.
func TestUnsolicitedAnswerBeforeWrite(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	p := newPool(t)
	_, first := send(p, addr)
	is.True((<-first).err == nil)
	k, ch := newCall()
	_, c := p.claim(addr, k)
	is.True(c != nil)
	_, err := c.consume([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	is.Equal(err, errUnsolicited)
	c.start(k)
	o := <-ch
	is.True(o.err != nil)
	is.Equal(o.err.Verdict, verdict.NotRun)
	is.Equal(len(ch), 0)
}

// Guards against a request that fails at once although its receiver works, with
// the failure counted against the receiver. A call is cancelled while the
// last bytes of its answer are read; the close of the connection is handled
// before the end of the answer, which then added the closed connection to the
// idle ones.
func TestClosedConnectionIsNotFreed(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	p := newPool(t)
	k, _ := newCall()
	pe, _ := p.claim(addr, k)
	c, _, err := pe.connect(k)
	is.NoErr(err)
	is.Equal(pe.detach(c), k)
	k, kept := pe.release(c, 0)
	is.True(k == nil && !kept)
	is.Equal(pe.idleCount(), 0)
}

// Guards against a data race on conn's parsing state when a call is cancelled
// while its answer is being read: the close event comes on its own goroutine.
// Run with the race detector.
func TestCancelWhileAnswered(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
		}
	})
	p := newPool(t)
	for range 50 {
		k, ch := send(p, addr)
		for !k.attached() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Millisecond)
		k.Cancel(verdict.ReasonSilent)
		is.True((<-ch).err != nil)
	}
	awaitNoConnections(p, addr)
}

// Guards against a pool that, closed while it dials, miscounts connections,
// reports an unsent request as may-have-run, or never finishes closing. The
// dial succeeds after the pool was closed: nbio accepts connections after its
// stop, and waits for those added while it stops.
func TestCloseWhileDialling(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	dialling, proceed := make(chan struct{}), make(chan struct{})
	p, err := NewPool(Options{
		DialTimeout:    time.Second,
		IdleTimeout:    time.Minute,
		MaxAnswerBytes: 1 << 20,
		Now:            func() clock.Time { return clock.FromWall(time.Now()) },
		Dial: func(network, addr string, timeout time.Duration) (net.Conn, error) {
			close(dialling)
			<-proceed
			return net.DialTimeout(network, addr, timeout)
		},
	})
	is.NoErr(err)
	_, ch := send(p, addr)
	<-dialling
	p.Close()
	close(proceed)
	o := <-ch
	is.True(o.err != nil)
	is.Equal(o.err.Verdict, verdict.NotRun)
	is.Equal(o.err.Reason, verdict.ReasonConnect)
	time.Sleep(10 * time.Millisecond) // for a late close event
	is.Equal(p.Connections(addr), 0)
}

// Guards against an entry VM whose memory grows with every target and entry VM
// ever replaced: the pool kept a record of an address after nothing listened
// there any more.
func TestUnusedReceiverForgotten(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	p := newPool(t)
	_, ch := send(p, addr)
	is.True((<-ch).err != nil)
	for deadline := time.Now().Add(5 * sweepInterval); p.receivers() > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("the record of the unused receiver %s was not removed", addr)
		}
		time.Sleep(sweepInterval / 100)
	}
}

func (p *Pool) receivers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Guards against a truncated answer taken for complete: a target crashes while
// it sends an answer without a length. nbio reports a connection that ended
// with an error event as closed cleanly, without reading from it.
func TestResetIsNotACleanClose(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := make(chan net.Conn, 1)
			addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
				peers <- c
				_, _ = r.ReadByte() // until the other side closes it
			})
			p := newPool(t)
			got := make(chan outcome, 1)
			k := &Call{req: &Request{MayEndByClose: true}, done: func(a *Answer, err *verdict.Error) { got <- outcome{a, err} }}
			pe, _ := p.claim(addr, k)
			nc, err := net.Dial("tcp", addr)
			is.NoErr(err)
			nbc, err := nbio.NBConn(nc) // no poller reads from it
			is.NoErr(err)
			c := &conn{p: pe, nbc: nbc, call: k, answer: &Answer{Status: http.StatusOK}, framing: heads.Framing{Length: -1}}
			is.True(k.attach(c))
			k.writeDone(nil)
			c.beginBody(k)
			far := <-peers
			if reset {
				is.NoErr(far.(*net.TCPConn).SetLinger(0))
			}
			is.NoErr(far.Close())
			awaitSocketClosed(t, nbc)
			c.onClose(io.EOF)
			o := <-got
			is.Equal(o.err != nil, reset)
		})
	}
}

// awaitSocketClosed waits until the kernel reports that the peer has closed the
// connection.
func awaitSocketClosed(t *testing.T, nbc *nbio.Conn) {
	t.Helper()
	raw, err := nbc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	_ = raw.Control(func(v uintptr) { fd = int(v) })
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(poll, 5000); err != nil || n == 0 {
		t.Fatalf("the connection was not closed within 5 s (poll: %d, %v)", n, err)
	}
}

// Guards against bytes that belong to no request being read as the answer to
// the next. An answer without a body comes in one piece with further bytes; the
// mark against reuse was set before the head was parsed, and parsing started by
// clearing it.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	p := newPool(t)
	k, _ := newCall()
	pe, _ := p.claim(addr, k)
	c, _, err := pe.connect(k)
	is.NoErr(err)
	is.True(k.attach(c))
	k.writeDone(nil)
	head := "HTTP/1.1 204 N\r\n\r\n"
	n, err := c.consume([]byte(head + "more"))
	is.NoErr(err)
	is.Equal(n, len(head))
	is.Equal(pe.idleCount(), 0)
}

// Guards against a request that is lost because another one was cancelled: that one's
// answer came at the same time, and its connection was given to the next request before
// the cancellation closed it.
func TestCancelAsTheAnswerComesClosesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways(okAnswer))
	p := newPool(t)
	var lost, answered atomic.Int64
	end := time.Now().Add(2 * time.Second)
	var load sync.WaitGroup
	for n := range 32 {
		load.Go(func() {
			for time.Now().Before(end) {
				k, ch := send(p, addr)
				if n%2 == 0 {
					time.Sleep(rand.N(200 * time.Microsecond))
					k.Cancel(verdict.ReasonCallerGone)
					<-ch
					continue
				}
				switch o := <-ch; {
				case o.err == nil:
					answered.Add(1)
				case o.err.Verdict != verdict.NotRun:
					lost.Add(1)
				}
			}
		})
	}
	load.Wait()
	t.Logf("%d answered", answered.Load())
	is.Equal(lost.Load(), int64(0))
}

// Guards against a whole answer that is taken for a cut one: its receiver closes the
// connection right behind it, and the poller learns of the end before it has read everything.
func TestWholeAnswerBeforeClose(t *testing.T) {
	is := is.New(t)
	const size = 900 << 10
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", size)
	answer := []byte(head + strings.Repeat("x", size))
	addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = c.Write(answer)
		}
	})
	p := newPool(t)
	failed := 0
	for range 300 {
		_, ch := send(p, addr)
		if o := <-ch; o.err != nil {
			failed++
		}
	}
	is.Equal(failed, 0)
}

// Guards against an upload that its receiver has answered and that loses the rest of its body:
// the receiver answers early and reads on later.
func TestEarlyAnswerLosesNoBody(t *testing.T) {
	for name, head := range map[string]string{
		"kept":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"closed": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const size = 32 << 20 // more than the kernel takes at once
			read := make(chan int64, 2)
			addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, head)
					time.Sleep(100 * time.Millisecond)
					n, _ := io.Copy(io.Discard, req.Body)
					read <- n
				}
			})
			p := newPool(t)
			for range 2 {
				ch := make(chan outcome, 1)
				p.Do(addr, &Request{Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: make([]byte, size)},
					func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
				o := <-ch
				is.Equal(o.err, nil)
				is.Equal(o.a.Status, http.StatusOK)
				is.Equal(<-read, int64(size))
			}
		})
	}
}

// Guards against a request that is reported as not run although its receiver got a part of it:
// the receiver resets the connection while the request is being written.
func TestResetDuringWriteProvesNothing(t *testing.T) {
	is := is.New(t)
	const requests = 120
	var mu sync.Mutex
	got := make(map[int]bool) // requests of which a receiver has read a byte, by number
	addr := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			var number, length int
			if _, err := fmt.Sscanf(line, "PUT /%d/%d ", &number, &length); err != nil {
				continue // of a head
			}
			mu.Lock()
			got[number] = true
			mu.Unlock()
			skipHead(r)
			if number%3 > 0 { // the next request is sent on this connection
				body := int64(length)
				if number%2 > 0 { // the answer comes before the end of the body
					n, _ := io.CopyN(io.Discard, r, rand.Int64N(body+1))
					body -= n
				} else {
					_, _ = io.CopyN(io.Discard, r, body)
					body = 0
				}
				_, _ = io.WriteString(c, okAnswer)
				_, _ = io.CopyN(io.Discard, r, body)
				continue
			}
			_, _ = io.CopyN(io.Discard, r, rand.Int64N(int64(length)+1))
			_ = c.(*net.TCPConn).SetLinger(0) // reset
			return
		}
	})
	p := newPool(t)
	for number := range requests {
		body := make([]byte, rand.IntN(4<<20))
		ch := make(chan outcome, 1)
		p.Do(addr, &Request{Method: http.MethodPut, URI: fmt.Sprintf("/%d/%d", number, len(body)), Header: http.Header{}, Body: body},
			func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
		o := <-ch
		mu.Lock()
		received := got[number]
		mu.Unlock()
		is.True(o.err == nil || !received || o.err.Verdict != verdict.NotRun) // number
	}
}

// skipHead reads the rest of a message's head.
func skipHead(r *bufio.Reader) {
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
	}
}
