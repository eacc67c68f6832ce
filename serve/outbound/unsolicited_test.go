package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

// Guards against bytes that belong to no request and leave no trace: which of them a receiver
// has sent, and whether its answer to a request came after one that was taken for it.
func TestUnsolicitedBytesAreReported(t *testing.T) {
	const (
		own   = "HTTP/1.1 200 OK\r\nOf: 1\r\nContent-Length: 2\r\n\r\nok"
		other = "HTTP/1.1 200 OK\r\nOf: 2\r\nContent-Length: 2\r\n\r\nok"
	)
	for name, tc := range map[string]struct {
		first  string        // the answer to the first request
		alone  string        // sent by itself after it
		pause  time.Duration // before the second request
		second string        // the answer to the second request
		after  string        // sent some time after that
		want   UnsolicitedKind
	}{
		"behind an answer":             {first: own + unnamedAnswer, want: UnsolicitedBehind},
		"alone":                        {first: own, alone: unnamedAnswer, pause: 20 * time.Millisecond, want: UnsolicitedIdle},
		"another's answer":             {first: own, second: other + own, want: UnsolicitedForeign},
		"taken for its answer":         {first: own, second: unnamedAnswer + own, want: UnsolicitedTaken},
		"taken, answered later":        {first: own, second: unnamedAnswer, after: own, want: UnsolicitedTaken},
		"alone after one that was own": {first: own, second: unnamedAnswer, after: other, want: UnsolicitedIdle},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := receiver(t, func(n int, c net.Conn, r *bufio.Reader) {
				for _, answer := range []string{tc.first, tc.second} {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
					if tc.alone != "" {
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(c, tc.alone)
						return
					}
				}
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(c, tc.after)
				_, _ = r.ReadByte()
			})
			got := make(chan Unsolicited, 4)
			p, err := NewPool(Options{
				DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 1 << 20,
				Now:  func() clock.Time { return clock.FromWall(time.Now()) },
				Dial: net.DialTimeout, Unsolicited: func(u Unsolicited) { got <- u },
			})
			is.NoErr(err)
			t.Cleanup(p.Close)
			is.Equal(sendNamed(p, addr, "1", nil).a.Status, http.StatusOK)
			time.Sleep(tc.pause)
			if tc.second != "" {
				sendNamed(p, addr, "1", nil)
			}
			select {
			case u := <-got:
				is.Equal(u.Kind, tc.want)
				is.Equal(u.Addr, addr)
			case <-time.After(5 * time.Second):
				t.Error("nothing was reported")
			}
			is.Equal(len(got), 0)
		})
	}
}
