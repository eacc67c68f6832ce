package ingress

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against waits for connections that no figure shows: the lines of
// requests tell of one answered send in 64.
func TestWaitsForConnectionsAreCounted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("done"))
	s := w.entry("vm-1")
	for range 2 {
		res, _ := ask(t, s, http.MethodGet, "/", "id")
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(s.metrics.domains.Get("d1").String(), "2")
	is.Equal(s.metrics.waits.Get("d1").String(), "1") // the second one found it free
}
