package ingress

import (
	"net/http"
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
