package e2e

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/target"
)

// Requests of a defective or hostile caller (malformed, too long, or for an
// unknown service) must get an error response with a verdict and a reason. They
// must not break the connection without an answer or reach a target in an
// altered form.
func TestBadRequests(t *testing.T) {
	sys := newTestSystem(t, testServices())
	var arrived atomic.Int64
	sys.startHandlerTarget("attiki-1", calc, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	e := sys.startEntryVM("a", "attiki-1", "--max-head-bytes=4096", "--max-body-bytes=1024", "--read-timeout=2s")
	const call = "/v1/call/" + calc + "/x"
	for name, c := range map[string]struct {
		send   string
		status int
		reason string
		open   bool // the connection stays open
	}{
		"method":                     {send: "G@T " + call + " HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request"},
		"unknown method":             {send: "PROPFIND " + call + " HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request"},
		"version":                    {send: "GET " + call + " HTTP/2.0\r\n\r\n", status: 400, reason: "bad-request"},
		"field name":                 {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\n(x): y\r\n\r\n", status: 400, reason: "bad-request"},
		"line feed in a field":       {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nX: a\nY: b\r\n\r\n", status: 400, reason: "bad-request"},
		"line end in path":           {send: "GET " + call + "\r\nX:y HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request"},
		"control in path":            {send: "GET " + call + "\x00\x01 HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request"},
		"length":                     {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", status: 400, reason: "bad-request"},
		"negative length":            {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", status: 400, reason: "bad-request"},
		"lengths that differ":        {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: 400, reason: "bad-request"},
		"coding":                     {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", status: 400, reason: "bad-request"},
		"chunk size":                 {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", status: 400, reason: "bad-request"},
		"length and chunks":          {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", status: 400, reason: "bad-request"},
		"space before a colon":       {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\na", status: 400, reason: "bad-request"},
		"no host":                    {send: "GET " + call + " HTTP/1.1\r\n\r\n", status: 400, reason: "bad-request"},
		"two hosts":                  {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", status: 400, reason: "bad-request"},
		"head too long":              {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20<<10), status: 431, reason: "body-too-large"},
		"path too long":              {send: "GET " + call + strings.Repeat("a", 20<<10), status: 431, reason: "body-too-large"},
		"body too long":              {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2048\r\n\r\n", status: 413, reason: "body-too-large"},
		"chunks too long":            {send: "POST " + call + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("a", 0x800) + "\r\n0\r\n\r\n", status: 413, reason: "body-too-large"},
		"unknown service":            {send: "GET /v1/call/none/x HTTP/1.1\r\nHost: a\r\n\r\n", status: 404, reason: "unknown-service", open: true},
		"no service":                 {send: "GET /v1/call/ HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"unknown path":               {send: "GET /other HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"bad deadline":               {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nAzurethread-Deadline-Ms: soon\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"negative deadline":          {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nAzurethread-Deadline-Ms: -1\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"bad hops":                   {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nAzurethread-Hops: 999\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"look-up without service":    {send: "GET /v1/lookup HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"look-up of bad client":      {send: "GET /v1/lookup?service=" + calc + "&client=x HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"too many tokens":            {send: "GET /v1/lookup?service=" + calc + "&tokens=999 HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"bad query":                  {send: "GET /v1/lookup?service=%zz HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, reason: "bad-request", open: true},
		"look-up of unknown service": {send: "GET /v1/lookup?service=none HTTP/1.1\r\nHost: a\r\n\r\n", status: 404, reason: "unknown-service", open: true},
		"expired deadline":           {send: "GET " + call + " HTTP/1.1\r\nHost: a\r\nAzurethread-Deadline-Ms: 0\r\n\r\n", status: 504, reason: "deadline", open: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dialRaw(t, e)
			conn.send(t, c.send)
			a := conn.receive(t, http.MethodGet)
			is.Equal(a.status, c.status)
			is.Equal(a.verdict(), "not-run")
			is.Equal(a.reason(), c.reason)
			var body struct{ Verdict, Reason, Message string }
			a.decode(t, &body)
			is.Equal(body.Verdict, "not-run")
			is.Equal(body.Reason, c.reason)
			is.True(body.Message != "")
			if !c.open {
				is.True(conn.closed())
				return
			}
			conn.send(t, "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
			is.Equal(conn.receive(t, http.MethodGet).status, http.StatusOK)
		})
	}
	t.Cleanup(func() { // after all subtests
		if n := arrived.Load(); n != 0 {
			t.Errorf("%d of the requests reached the target", n)
		}
	})
}

// A caller that is hostile or has lost its network may send its request slowly,
// or stop inside the head or the body. Its connection must be closed, or it would
// hold buffers indefinitely, and an incomplete request must not run.
func TestSlowAndCutRequests(t *testing.T) {
	sys := newTestSystem(t, testServices())
	s := sys.startTarget("attiki-1", target.Options{Service: calc, ID: "t1", Slots: 3})
	e := sys.startEntryVM("a", "attiki-1", "--read-timeout=300ms")
	post := "POST /v1/call/" + calc + "/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"
	for name, c := range map[string]struct {
		first string
		then  string // sent one byte at a time
	}{
		"silent in the head": {first: "GET /v1/call/" + calc},
		"silent in the body": {first: post},
		"bare line feeds":    {first: "GET / HTTP/1.1\nHost: a\n\n"},
		"slow method":        {first: "G", then: strings.Repeat("E", 1000)},
		"slow path":          {first: "GET /", then: strings.Repeat("a", 1000)},
		"slow fields":        {first: "GET / HTTP/1.1\r\nHost: a\r\nX: ", then: strings.Repeat("a", 1000)},
		"slow body":          {first: post, then: "defg"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dialRaw(t, e)
			conn.send(t, c.first)
			ended := make(chan bool, 1)
			go func() { ended <- conn.closed() }()
			for i := range len(c.then) {
				select {
				case ok := <-ended:
					if !ok {
						t.Error("the connection is not closed")
					}
					return
				case <-time.After(100 * time.Millisecond):
				}
				_, _ = conn.Write([]byte{c.then[i]}) // fails once it is closed
				if i >= 100 {
					t.Fatal("the connection is still open after 100 bytes, each a third of the read timeout apart")
				}
			}
			if !<-ended {
				t.Error("the connection is not closed")
			}
		})
	}
	t.Cleanup(func() {
		if n := s.Stats().Arrived; n != 0 {
			t.Errorf("%d of the requests reached the target", n)
		}
	})
}

// Bodies with a length, chunked, empty, and up to the size limit must reach the
// target unchanged. The entry VM reads and writes them with different framing,
// so an error could truncate a body, duplicate it, or mix it with that of
// another request.
func TestBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	sys.startHandlerTarget("attiki-1", calc, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Method", r.Method)
		_, _ = w.Write(b)
	})
	e := sys.startEntryVM("a", "attiki-1", "--max-body-bytes=1048576")
	conn := dialRaw(t, e)
	for _, n := range []int{0, 1, 5, 4096, 70_000, 1 << 20} {
		body := strings.Repeat("abcdefg\n", n/8+1)[:n]
		for _, method := range []string{"POST", "PUT", "PATCH", "DELETE"} {
			conn.send(t, method+" /v1/call/"+calc+"/x HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(n)+"\r\n\r\n"+body)
			a := conn.receive(t, method)
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.header.Get("X-Method"), method)
			is.True(string(a.body) == body) // complete
		}
		chunked := "0\r\n\r\n"
		if n > 0 {
			chunked = strconv.FormatInt(int64(n), 16) + ";ext=1\r\n" + body + "\r\n0\r\n\r\n"
		}
		conn.send(t, "POST /v1/call/"+calc+"/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked)
		a := conn.receive(t, "POST")
		is.Equal(a.status, http.StatusOK)
		is.True(string(a.body) == body) // complete
	}
}

// Pipelined requests must be answered in their own order, even if the first is
// the slowest. Writing answers in the order in which targets give them would
// swap or lose some.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	release := make(chan struct{})
	sys.startHandlerTarget("attiki-1", calc, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	e := sys.startEntryVM("a", "attiki-1")
	conn := dialRaw(t, e)
	var all strings.Builder
	for i := range 8 {
		all.WriteString("GET /v1/call/" + calc + "/" + strconv.Itoa(i) + " HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	conn.send(t, all.String())
	close(release)
	for i := range 8 {
		is.Equal(string(conn.receive(t, http.MethodGet).body), "/"+strconv.Itoa(i))
	}
}

// The entry VM must close the connection after a request in HTTP/1.0 or with
// "Connection: close". Otherwise a caller that reads until the end of the
// connection would wait indefinitely.
func TestConnectionCloses(t *testing.T) {
	sys := newTestSystem(t, testServices())
	sys.startHandlerTarget("attiki-1", calc, func(http.ResponseWriter, *http.Request) {})
	e := sys.startEntryVM("a", "attiki-1")
	for _, head := range []string{
		"HTTP/1.0\r\n\r\n",
		"HTTP/1.1\r\nHost: a\r\nConnection: Close\r\n\r\n",
		"HTTP/1.1\r\nHost: a\r\nConnection: x, close\r\n\r\n",
	} {
		is := is.New(t)
		conn := dialRaw(t, e)
		conn.send(t, "GET /v1/call/"+calc+"/x "+head)
		a := conn.receive(t, http.MethodGet)
		is.Equal(a.status, http.StatusOK)
		is.True(conn.closed())
	}
}
