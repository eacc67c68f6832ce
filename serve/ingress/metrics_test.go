package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against waits for connections that no metric shows: only one in 64
// answered sends is logged.
func TestConnectionWaitsAreCounted(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("done"))
	s := w.startListed("vm-1")
	for range 2 {
		res, _ := doRequest(t, s, http.MethodGet, "/", "id")
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(s.metrics.sendsByDomain.Get("d1").String(), "2")
	is.Equal(s.metrics.connWaits.Get("d1").String(), "1") // the second request finds the connection idle
}

// Guards against a request that this VM cuts off and that is logged as one whose
// caller has left.
func TestCutRequestNamesWhoClosed(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	lines := new(logBuffer)
	w.log = lines
	working := make(chan struct{}, 2)
	w.startTarget("t1", func(_ http.ResponseWriter, r *http.Request) {
		working <- struct{}{}
		<-r.Context().Done()
	})
	s := w.startListed("vm-1")
	left := dial(t, s)
	left.sendRequest(http.MethodGet, "/", "left")
	<-working
	is.NoErr(left.conn.Close())
	w.eventually("the caller's leave is counted", func() bool { return s.metrics.requestsCut.Get("caller") != nil && s.metrics.callersGone.Value() == 1 })
	cut := dial(t, s)
	cut.sendRequest(http.MethodGet, "/", "cut")
	<-working
	s.callerServer.Close()
	w.eventually("the cut is logged", func() bool {
		got := lines.String()
		return strings.Contains(got, "this entry VM closed the connection") && strings.Contains(got, `"in_flight":1`)
	})
	is.Equal(s.metrics.requestsCut.Get("caller").String(), "1")
	is.Equal(s.metrics.requestsCut.Get("stop-end").String(), "1")
	is.True(strings.Contains(lines.String(), `"closed_by":"caller"`))
	is.True(strings.Contains(lines.String(), `"closed_by":"stop-end"`))
}
