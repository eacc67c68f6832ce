package ingress

import (
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
)

// Guards against an invalid rate limit that stops all requests to a target or
// removes its limit.
func TestParseRate(t *testing.T) {
	is := is.New(t)
	for v, want := range map[string]float64{"4.8": 4.8, "0": 0, " 12 ": 12, ".5": 0.5, "100000000": 1e8} {
		rate, err := parseRate([]string{v})
		is.NoErr(err)
		is.Equal(rate, want)
	}
	for _, v := range []string{"", ".", "-1", "+1", "1e3", "inf", "NaN", "0x10", "1,2", "4 8", "1.2.3", "five", "111111111111111111111111111111111"} {
		_, err := parseRate([]string{v})
		is.True(err != nil)
	}
	_, err := parseRate([]string{"1", "2"})
	is.Equal(err, errRepeated)
}

// Guards against rate limits in answers that are ignored.
func TestRateLimitIsReadFromAnswer(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.RateLimits[0], strings.TrimPrefix(r.URL.Path, "/"))
		respondOK("hello")(rw, r)
	})
	s := w.startListed("vm-1")
	res, _ := doRequest(t, s, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(s.serviceStatus().Limited, 0)
	is.Equal(s.metrics.unreadLimits.Value(), int64(1))
	res, _ = doRequest(t, s, http.MethodGet, "/4.8", "id-2")
	is.Equal(res.Header.Get(testFields.RateLimits[0]), "4.8")
	is.Equal(s.serviceStatus().Limited, 1)
}

// Guards against requests beyond a limit that a target states only when it rejects one, without
// naming it.
func TestRateLimitIsReadFromUnprovedAnswer(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	requests := 0
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		if requests++; requests == 1 {
			respondOK("hello")(rw, r)
			return
		}
		rw.Header().Set(testFields.NotRun, "1")
		rw.Header().Set(testFields.RateLimits[0], "4.8")
		rw.WriteHeader(http.StatusTooManyRequests)
	})
	s := w.startListed("vm-1")
	doRequest(t, s, http.MethodPost, "/x", "id-1")
	res, _ := doRequest(t, s, http.MethodPost, "/x", "id-2")
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(s.serviceStatus().Limited, 1)
}

func TestLimitTermsOfForwardedRequests(t *testing.T) {
	is := is.New(t)
	for _, terms := range []ingress.LimitTerms{{}, {Counted: true}, {Ended: true}, {Ended: true, EndedAge: 1500 * time.Millisecond}} {
		is.Equal(parseTerms(formatTerms(terms)), terms)
	}
	for _, v := range []string{"x", "ended", "ended x", "ended -1", "counted 1"} {
		is.Equal(parseTerms(v), ingress.LimitTerms{})
	}
	for _, l := range []ingress.TargetLimit{{}, {PerSecond: 4.8, Age: 2 * time.Second}, {PerSecond: maxReturnedRate}} {
		got, ok := parseReturnedLimit(formatReturnedLimit(l))
		is.True(ok)
		is.Equal(got, l)
	}
	_, ok := parseReturnedLimit(formatReturnedLimit(ingress.TargetLimit{PerSecond: math.MaxFloat64}))
	is.True(ok)
	for _, v := range []string{"", "1", "1 ", "x 1", "1 x", "-1 1"} {
		_, ok := parseReturnedLimit(v)
		is.True(!ok)
	}
}

// Guards against a gateway that passes on requests of an entry VM that does not know
// the limit which the target has stated to the gateway.
func TestGatewayReturnsRequestsBeyondALimit(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(false))
	var got atomic.Int64
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got.Add(1)
		rw.Header().Set(testFields.RateLimits[0], "0.4")
		respondOK("hello")(rw, r)
	}))
	near, gate := w.startTwoRegions()
	res, _ := doRequest(t, near, http.MethodPost, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	w.eventually("the gateway knows the limit", func() bool { return gate.serviceStatus().Limited == 1 })

	other := w.startListed("vm-2")
	near.shutdown()
	w.eventually("the new VM is alone in its region", func() bool {
		_, known := other.member("vm-1")
		return !known
	})
	res, _ = doRequest(t, other, http.MethodPost, "/x", "id-2")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(got.Load(), int64(1))
	is.Equal(other.serviceStatus().Limited, 1)
}
