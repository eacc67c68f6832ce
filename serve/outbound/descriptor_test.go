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

// soundLoad sends requests to a sound receiver, each on a new connection, until done is set.
type soundLoad struct {
	callers        sync.WaitGroup
	done           atomic.Bool
	answered, lost atomic.Int64
}

func startLoad(p *Pool, addr string) *soundLoad {
	l := new(soundLoad)
	for range 16 {
		l.callers.Go(func() {
			for !l.done.Load() {
				if _, ch := send(p, addr); (<-ch).err != nil {
					l.lost.Add(1)
				} else {
					l.answered.Add(1)
				}
			}
		})
	}
	return l
}

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
	load := startLoad(p, sound)
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
	load.done.Store(true)
	load.callers.Wait()
	t.Logf("%d answered", load.answered.Load())
	is.Equal(load.lost.Load(), int64(0))
}

// Guards against a request that is lost although its receiver works: another answer has
// ended with its connection, and the duplicate of that one's socket, which shows how it
// ended, keeps the events of its descriptor alive.
func TestAnswerThatEndsByCloseClosesNoOtherConnection(t *testing.T) {
	is := is.New(t)
	closing := receiver(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
		}
	})
	sound := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool(t)
	load := startLoad(p, sound)
	var cut atomic.Int64
	for range 16 {
		load.callers.Go(func() {
			for !load.done.Load() {
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
	load.done.Store(true)
	load.callers.Wait()
	t.Logf("%d answered, %d answers that end by close are cut", load.answered.Load(), cut.Load())
	is.Equal(load.lost.Load(), int64(0))
	is.Equal(cut.Load(), int64(0))
}
