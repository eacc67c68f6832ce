package ingress

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/inbound"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// loggedRequest is the log line of a failed request.
type loggedRequest struct {
	Event   string          `json:"event"`
	Request string          `json:"request"`
	Status  int             `json:"status"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Sends   []sendRecord    `json:"sends"`
	Config  uint64          `json:"config"`

	Fingerprint string `json:"fingerprint"`
}

func (l *logBuffer) requestLine(w *testEnv, id string) loggedRequest {
	w.t.Helper()
	var found loggedRequest
	w.eventually("line of "+id, func() bool {
		for _, text := range strings.Split(l.String(), "\n") {
			var r loggedRequest
			if json.Unmarshal([]byte(text), &r) == nil && r.Event == eventRequest && r.Request == id {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// Guards against log lines that do not show why a request failed: for each way
// of failing, the line has to contain the data that determined the result.
func TestRequestLineExplainsFailure(t *testing.T) {
	closing := func(c net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }
	silent := func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte() // until the entry VM closes the connection
	}
	cases := map[string]struct {
		target  func(c net.Conn, r *bufio.Reader)
		timeout time.Duration
		want    loggedRequest
	}{
		"refused without a send": {
			want: loggedRequest{Status: 503, Verdict: verdict.NotRun, Reason: verdict.ReasonNoTarget},
		},
		"sent and outcome unknown": {
			target: closing,
			want: loggedRequest{Status: 502, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost,
				Sends: []sendRecord{{Target: "t1", Domain: "d1", Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}}},
		},
		"too late": {
			target: silent, timeout: 100 * time.Millisecond,
			want: loggedRequest{Status: 504, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline,
				Sends: []sendRecord{{Target: "t1", Domain: "d1", Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone}}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rt := catchAllRoute(false)
			rt.Timeout = tc.timeout
			w := newTestEnv(t, rt)
			log := new(logBuffer)
			w.log = log
			if tc.target != nil {
				w.startRawTarget("t1", tc.target)
			}
			res, _ := doRequest(t, w.startListed("vm-1"), http.MethodPost, "/x", "id-1")
			is.Equal(res.StatusCode, tc.want.Status)
			got := log.requestLine(w, "id-1")
			is.Equal(got.Status, tc.want.Status)
			is.Equal(got.Verdict, tc.want.Verdict)
			is.Equal(got.Reason, tc.want.Reason)
			is.Equal(got.Config, uint64(1))
			is.Equal(len(got.Sends), len(tc.want.Sends))
			for i, s := range got.Sends {
				is.Equal(s.Target, tc.want.Sends[i].Target)
				is.Equal(s.Domain, tc.want.Sends[i].Domain)
				is.Equal(s.Verdict, tc.want.Sends[i].Verdict)
				is.Equal(s.Reason, tc.want.Sends[i].Reason)
			}
		})
	}
}

// Guards against a refusal whose proof the log does not show: a rejection of the request
// and one that was made for an earlier request of its connection look alike.
func TestRequestLineDescribesRejection(t *testing.T) {
	for name, viaGateway := range map[string]bool{"direct": false, "through a gateway": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			log := new(logBuffer)
			w.log = log
			const serves = 3 // then it rejects without naming the request
			answers := 0
			target := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if answers++; answers <= serves {
					respondOK("body")(rw, r)
					return
				}
				time.Sleep(5 * time.Millisecond)
				rw.Header().Set(testFields.NotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			var s, sender *Server // sender is connected to the target
			if viaGateway {
				w.startRemoteTarget("t1", target)
				s, sender = w.startTwoRegions()
			} else {
				w.startTarget("t1", target.ServeHTTP)
				s = w.startListed("vm-1")
				sender = s
			}
			for range serves {
				res, _ := doRequest(t, s, http.MethodPost, "/x", "served")
				is.Equal(res.StatusCode, http.StatusOK)
			}
			for _, want := range []struct {
				id      string
				status  int
				verdict verdict.Verdict
				earlier int
				count   string
			}{
				{"unproved", http.StatusBadGateway, verdict.MayHaveRun, serves, `{"unnamed-later": 1}`},
				{"proved", http.StatusServiceUnavailable, verdict.NotRun, 0, `{"unnamed-first": 1, "unnamed-later": 1}`},
			} {
				res, _ := doRequest(t, s, http.MethodPost, "/x", want.id)
				is.Equal(res.StatusCode, want.status)
				is.Equal(res.Header.Get(gatewayAnswerHeader), "")
				sends := log.requestLine(w, want.id).Sends
				is.Equal(len(sends), 1)
				is.Equal(sends[0].Verdict, want.verdict)
				is.True(sends[0].Answer != nil)
				is.Equal(sends[0].Answer.Status, http.StatusServiceUnavailable)
				is.Equal(sends[0].Answer.Named, false)
				is.Equal(sends[0].Answer.Earlier, want.earlier)
				is.True(sends[0].Answer.HeadMS >= 5)
				is.Equal(sender.metrics.rejections.String(), want.count)
			}
		})
	}
}

// Guards against a failed send whose log line does not show what failed.
func TestRequestLineNamesError(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	log := new(logBuffer)
	w.log = log
	w.startRawTarget("t1", func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = c.Write([]byte("not an answer\r\n\r\n"))
		_, _ = r.ReadByte() // until the entry VM closes the connection
	})
	doRequest(t, w.startListed("vm-1"), http.MethodPost, "/x", "id-1")
	sends := log.requestLine(w, "id-1").Sends
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Answer, nil)
	is.Equal(sends[0].Error, "outbound: received data is not the head of an HTTP/1 answer")
}

// Guards against a shift of traffic between regions that cannot be attributed to
// the entry VMs: only a sample of the requests is logged, so the placement of
// all requests has to be logged in total.
func TestPlacementIsLogged(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	log := new(logBuffer)
	w.log = log
	w.startTarget("t1", respondOK("body"))
	s := w.startListed("vm-1")
	const requests = 3
	for i := range requests {
		res, _ := doRequest(t, s, http.MethodGet, "/x", fmt.Sprint("id-", i))
		is.Equal(res.StatusCode, http.StatusOK)
	}
	s.shutdown()
	total := 0
	for _, text := range strings.Split(log.String(), "\n") {
		var line struct {
			Event    string         `json:"event"`
			Service  string         `json:"service"`
			ByRegion map[string]int `json:"by_region"`
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.Event == eventPlaced {
			is.Equal(line.Service, "svc")
			total += line.ByRegion["r1"]
		}
	}
	is.Equal(total, requests)
}

// Guards against credentials in the logs: a request with credentials and a body
// fails, and its log line contains the whole head or body.
func TestRequestLineOmitsSecrets(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	log := new(logBuffer)
	w.log = log
	c := dial(t, w.startListed("vm-1"))
	const secret = "c2VjcmV0"
	_, err := fmt.Fprintf(c.conn, "POST /x?token=%s HTTP/1.1\r\nHost: %s\r\nX-Id: id-1\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n%s",
		secret, testHost, secret, len(secret), secret)
	is.NoErr(err)
	res, _ := c.readResponse(http.MethodPost)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	log.requestLine(w, "id-1")
	is.True(!strings.Contains(log.String(), secret))
}

// BenchmarkRequest measures a request through an entry VM to a target, including
// the caller's and the target's work.
func BenchmarkRequest(b *testing.B) {
	w := newTestEnv(b, catchAllRoute(true))
	w.startTarget("t1", respondOK("body"))
	c := dial(b, w.startListed("vm-1"))
	for b.Loop() {
		c.sendRequest(http.MethodGet, "/x", "id-1")
		if res, _ := c.readResponse(http.MethodGet); res.StatusCode != http.StatusOK {
			b.Fatal(res.Status)
		}
	}
}

// BenchmarkRequestLine measures one log line for a request with one send. One in
// successSampleInterval answered requests gets a line.
func BenchmarkRequestLine(b *testing.B) {
	w := newTestEnv(b, catchAllRoute(true))
	w.startTarget("t1", respondOK("body"))
	s := w.startListed("vm-1")
	x := &inbound.Exchange{Request: inbound.Request{Method: http.MethodGet, Header: http.Header{"Host": {testHost}}}}
	k := &call{exchange: x, sends: []sendRecord{{Target: "t1", Outcome: "served"}}}
	for b.Loop() {
		s.requestLine(k, http.StatusOK, verdict.Ran, verdict.ReasonNone).Info("answered by a target")
	}
}

// Guards against log lines that do not show that a failed request was repeated:
// each attempt of its caller has another id.
func TestEqualRequestsShareFingerprint(t *testing.T) {
	is := is.New(t)
	log := new(logBuffer)
	w := newTestEnv(t, catchAllRoute(true))
	w.log = log
	s := w.startListed("vm-1")
	fingerprint := func(path, id string) string {
		res, _ := doRequest(t, s, http.MethodGet, path, id)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		return log.requestLine(w, id).Fingerprint
	}
	first := fingerprint("/a", "id-1")
	is.True(first != "")
	is.Equal(fingerprint("/a", "id-2"), first)
	is.True(fingerprint("/b", "id-3") != first)
}
