package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
)

// A rate limit that is no number has a target get nothing, or everything.
func TestRateLimitsThatAreNoNumberSayNothing(t *testing.T) {
	is := is.New(t)
	for v, want := range map[string]float64{"4.8": 4.8, "0": 0, " 12 ": 12, ".5": 0.5, "100000000": 1e8} {
		rate, err := perSecond([]string{v})
		is.NoErr(err)
		is.Equal(rate, want)
	}
	for _, v := range []string{"", ".", "-1", "+1", "1e3", "inf", "NaN", "0x10", "1,2", "4 8", "1.2.3", "five", "111111111111111111111111111111111"} {
		_, err := perSecond([]string{v})
		is.True(err != nil)
	}
	_, err := perSecond([]string{"1", "2"})
	is.Equal(err, errRateRepeated)
}

// limited counts the targets of a service that are known to name a limit.
func (s *Server) limited() int {
	n := 0
	s.core.Ask(func(now clock.Time, r *ingress.Reducer) { n = r.Status(now).Services["svc"].Limited })
	return n
}

// A target that names a limit in its answers is not heard.
func TestRateLimitIsReadFromAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.RateLimits[0], strings.TrimPrefix(r.URL.Path, "/"))
		ok("hello")(rw, r)
	})
	s := w.entry("vm-1")
	res, _ := ask(t, s, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(s.limited(), 0)
	is.Equal(s.metrics.badLimits.Value(), int64(1))
	res, _ = ask(t, s, http.MethodGet, "/4.8", "id-2")
	is.Equal(res.Header.Get(testFields.RateLimits[0]), "4.8")
	is.Equal(s.limited(), 1)
}
