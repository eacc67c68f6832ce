package outbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
)

// ownerByName takes an answer for the request with this id if it names it.
func ownerByName(id string) func(Head) Ownership {
	return func(h Head) Ownership {
		switch h.Header.Get("Of") {
		case id:
			return Own
		case "":
			return Unnamed
		default:
			return Foreign
		}
	}
}

func sendNamed(p *Pool, addr, id string, headReceived func(Head)) outcome {
	ch := make(chan outcome, 1)
	p.Do(addr, &Request{
		Method: http.MethodGet, URI: "/", Header: http.Header{"Id": {id}}, OwnerOf: ownerByName(id), HeadReceived: headReceived,
	}, func(a *Answer, err *verdict.Error) { ch <- outcome{a, err} })
	return <-ch
}

const (
	namedAnswer   = "HTTP/1.1 503 S\r\nOf: 1\r\nContent-Length: 0\r\n\r\n"
	unnamedAnswer = "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"
)

// Guards against an answer that is taken for another request's: it comes a second time, at
// once in a segment of its own, or where the answer to the next request is due. Only an
// answer that names its request leaves its connection for others.
func TestSecondAnswerEndsNoOtherRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		answer      string
		after       time.Duration // of the first copy, after the answer; 0: where the next one is due
		connections int
	}{
		"named, late":      {namedAnswer, 0, 1},
		"unnamed, late":    {unnamedAnswer, 0, 2},
		"named, at once":   {namedAnswer, time.Millisecond, 2}, // the copy belongs to no request
		"unnamed, at once": {unnamedAnswer, time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 8)
			addr := receiver(t, func(n int, c net.Conn, r *bufio.Reader) {
				connections <- n
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					switch id := req.Header.Get("Id"); {
					case id == "1":
						_, _ = io.WriteString(c, tc.answer)
						time.Sleep(tc.after)
						if tc.after > 0 {
							_, _ = io.WriteString(c, tc.answer)
						}
					default:
						if tc.after == 0 && n == 0 {
							_, _ = io.WriteString(c, tc.answer)
							time.Sleep(5 * time.Millisecond)
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nOf: "+id+"\r\nContent-Length: 0\r\n\r\n")
					}
				}
			})
			p := newPool(t)
			is.Equal(sendNamed(p, addr, "1", nil).a.Status, http.StatusServiceUnavailable)
			time.Sleep(3 * tc.after)
			heads := 0
			o := sendNamed(p, addr, "2", func(Head) { heads++ })
			is.Equal(o.err, nil)
			is.Equal(o.a.Status, http.StatusOK)
			is.Equal(heads, 1) // that of the copy is not read
			is.Equal(len(connections), tc.connections)
		})
	}
}

// Guards against a request that is reported as run because an answer to another one has no
// length.
func TestForeignAnswerWithoutLengthProvesNothing(t *testing.T) {
	is := is.New(t)
	addr := receiver(t, answerAlways("HTTP/1.1 200 OK\r\nOf: another\r\n\r\ncut"))
	o := sendNamed(newPool(t), addr, "1", nil)
	is.Equal(o.err.Verdict, verdict.MayHaveRun)
	is.Equal(o.err.Reason, verdict.ReasonAnswerCut)
}

// serveInTurn returns a receiver that answers the requests of each connection in this order,
// and sends on numbers the numbers of the connections on which they come.
func serveInTurn(t *testing.T, numbers chan<- int, answers ...string) string {
	return receiver(t, func(n int, c net.Conn, r *bufio.Reader) {
		for _, answer := range answers {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			numbers <- n
			_, _ = io.WriteString(c, answer)
		}
		_, _ = r.ReadByte() // until the sender closes the connection
	})
}

// Guards against a request that is reported as not run, or as run, by an answer that may be
// nobody's: behind another answer, what names no request proves nothing.
func TestUnnamedAnswerProvesOnlyAsFirst(t *testing.T) {
	for _, status := range []int{302, 400, 408, 421, 429, 500, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			unnamed := fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: 4\r\n\r\nbody", status)
			numbers := make(chan int, 4)
			p := newPool(t)
			o := sendNamed(p, serveInTurn(t, numbers, unnamed), "1", nil)
			is.Equal(o.err, nil)
			is.Equal(o.a.Status, status)
			addr := serveInTurn(t, numbers, namedAnswer, unnamed)
			is.Equal(sendNamed(p, addr, "1", nil).err, nil)
			var proved []bool
			o = sendNamed(p, addr, "1", func(h Head) { proved = append(proved, h.Proved) })
			is.Equal(o.a, nil)
			is.Equal(o.err.Verdict, verdict.MayHaveRun)
			is.Equal(o.err.Reason, verdict.ReasonUnproved)
			var e *UnprovedError
			is.True(errors.As(o.err.Err, &e))
			is.Equal(e.Status, status)
			is.Equal(e.Earlier, 1)
			is.Equal(proved, []bool{false})
		})
	}
}

// Guards against two heads that are read as one: the end of a head that belongs to no request
// is missing, and the request's own head completes it.
func TestSplicedHeadProvesNothing(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nOf: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, cut := range map[string]string{
		"in a field":                  "HTTP/1.1 503 S\r\nNot-Run: 1\r\nNote: ",
		"in a name of a field":        "HTTP/1.1 503 S\r\nNot-Run: 1\r\nNo",
		"at the end of a line":        "HTTP/1.1 503 S\r\nNot-Run: 1\r\n",
		"in its status line":          "HTTP/1.1 503 Serv",
		"in the name of the request":  "HTTP/1.1 503 S\r\nOf: ",
		"at the end of a status line": "HTTP/1.1 503 ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t)
			addr := serveInTurn(t, make(chan int, 2), own, cut+own)
			is.Equal(sendNamed(p, addr, "1", nil).err, nil)
			o := sendNamed(p, addr, "1", nil)
			is.Equal(o.a, nil)
			is.Equal(o.err.Verdict, verdict.MayHaveRun)
			is.Equal(o.err.Reason, verdict.ReasonAnswerCut)
		})
	}
}

// Guards against a request whose rejection proves nothing although its sender has asked for
// proof, and against one that is sent where another process answers.
func TestConnectionOfARequest(t *testing.T) {
	const named = "HTTP/1.1 200 OK\r\nOf: 1\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		second Request
		want   int // the number of its connection
	}{
		"any":              {Request{Receiver: "a"}, 0},
		"unused":           {Request{Receiver: "a", Unused: true}, 1},
		"another receiver": {Request{Receiver: "b"}, 1},
		"any receiver":     {Request{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			numbers := make(chan int, 2)
			addr := serveInTurn(t, numbers, named, named)
			p := newPool(t)
			for _, r := range []Request{{Receiver: "a"}, tc.second} {
				r.Method, r.URI, r.Header, r.OwnerOf = http.MethodGet, "/", http.Header{}, ownerByName("1")
				done := make(chan *verdict.Error)
				p.Do(addr, &r, func(_ *Answer, err *verdict.Error) { done <- err })
				is.Equal(<-done, nil)
			}
			is.Equal(<-numbers, 0)
			is.Equal(<-numbers, tc.want)
		})
	}
}

// Guards against a request that waits for a connection of its own while one that has carried
// nothing is idle.
func TestSpareServesRequestThatNeedsAnUnusedOne(t *testing.T) {
	is := is.New(t)
	numbers := make(chan int, 2)
	addr := serveInTurn(t, numbers, namedAnswer, namedAnswer)
	p := newPool(t)
	send := func(r Request) {
		r.Method, r.URI, r.Header, r.OwnerOf = http.MethodGet, "/", http.Header{}, ownerByName("1")
		done := make(chan *verdict.Error)
		p.Do(addr, &r, func(_ *Answer, err *verdict.Error) { done <- err })
		is.Equal(<-done, nil)
	}
	send(Request{})
	send(Request{KeepSpare: true}) // takes the only idle connection
	for p.Connections(addr) < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	is.Equal(<-numbers+<-numbers, 0)
	send(Request{Unused: true})
	is.Equal(<-numbers, 1)
	is.Equal(p.Connections(addr), 2)
}
