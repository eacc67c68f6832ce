package outbound

import (
	"bufio"
	"io"
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

// Guards against a request that is lost although its receiver works: a connection to
// another receiver is closed on both sides at once, its file descriptor is given to a
// new connection, and the poller takes the old one's end for the new one's.
func TestCancelClosesNoOtherConnection(t *testing.T) {
	is := is.New(t)
	hangUp := make(chan struct{}, 1)
	closing := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			<-hangUp
		}
	})
	sound := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p, err := NewPool(Options{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 1 << 20, Pollers: 1,
		Now: func() clock.Time { return clock.FromWall(time.Now()) }, Dial: net.DialTimeout,
	})
	is.NoErr(err)
	t.Cleanup(p.Close)
	var lost, answered atomic.Int64
	var done atomic.Bool
	var load sync.WaitGroup
	for range 16 {
		load.Go(func() {
			for !done.Load() {
				if _, ch := send(p, sound); (<-ch).err != nil {
					lost.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		var calls []*Call
		for range 16 {
			k, _ := send(p, closing)
			calls = append(calls, k)
		}
		for _, k := range calls {
			for !k.attached() {
				time.Sleep(10 * time.Microsecond)
			}
		}
		time.Sleep(time.Millisecond)
		for range calls {
			hangUp <- struct{}{}
		}
		for _, k := range calls {
			k.Cancel(verdict.ReasonCallerGone)
		}
	}
	done.Store(true)
	load.Wait()
	t.Logf("%d answered", answered.Load())
	is.Equal(lost.Load(), int64(0))
}

// Guards against the same fault at the end of an answer that ends with its connection.
func TestAnswerThatEndsByCloseClosesNoOtherConnection(t *testing.T) {
	is := is.New(t)
	closing := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
		}
	})
	sound := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool(t)
	var lost, answered, cut atomic.Int64
	var done atomic.Bool
	var load sync.WaitGroup
	for range 16 {
		load.Go(func() {
			for !done.Load() {
				if _, ch := send(p, sound); (<-ch).err != nil {
					lost.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	for range 16 {
		load.Go(func() {
			for !done.Load() {
				ch := make(chan outcome, 1)
				p.Do(closing, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, MayEndByClose: true}, func(a *Answer, err *verdict.Error) {
					ch <- outcome{a, err}
				})
				if (<-ch).err != nil {
					cut.Add(1)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	done.Store(true)
	load.Wait()
	t.Logf("%d answered, %d answers that end by close are cut", answered.Load(), cut.Load())
	is.Equal(lost.Load(), int64(0))
	is.Equal(cut.Load(), int64(0))
}
