package ingress

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/notice"
)

// Guards against a Retry-After that is misread, so that a target is not used for far
// longer than it asked for, or is used too early.
func TestParseRetryAfter(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for v, want := range map[string]time.Duration{
		"3": 3 * time.Second, "2.5": 2500 * time.Millisecond, " 0 ": 0, ".5": time.Second / 2,
		"86400": notice.MaxBackoff, "99999999999999": notice.MaxBackoff,
		"Sun, 01 Mar 2026 12:00:07 GMT": 7 * time.Second,
		"Sun, 01 Mar 2026 11:59:00 GMT": 0,
		"Sun, 01 Mar 2037 12:00:00 GMT": notice.MaxBackoff,
	} {
		d, err := parseRetryAfter([]string{v}, now)
		is.NoErr(err)
		is.Equal(d, want)
	}
	for _, v := range []string{"", "-1", "+1", "1e3", "soon", "3s", "0x10", "1,2", "Inf", "NaN"} {
		_, err := parseRetryAfter([]string{v}, now)
		is.Equal(err, errSeconds)
	}
	_, err := parseRetryAfter([]string{"1", "2"}, now)
	is.Equal(err, errRepeated)
}

// Guards against a field that takes a target out of use although its value cannot be
// read.
func TestParseFlag(t *testing.T) {
	is := is.New(t)
	for v, want := range map[string]bool{"1": true, "0": false, " 1 ": true} {
		got, err := parseFlag([]string{v})
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, v := range []string{"", "true", "-1", "2", "1,1", "01"} {
		_, err := parseFlag([]string{v})
		is.Equal(err, errFlag)
	}
	_, err := parseFlag([]string{"1", "1"})
	is.Equal(err, errRepeated)
}

// Checks that no value of the fields makes a notice that binds longer than allowed,
// and that a field that cannot be read counts as absent.
func FuzzNotice(f *testing.F) {
	for _, v := range []string{"1", "0", "3", "-1", "2.5", "1e9", "Sun, 01 Mar 2026 12:00:07 GMT", "", "1\x00", "٣"} {
		f.Add(v, v, "Sun, 01 Mar 2026 12:00:00 GMT", http.StatusServiceUnavailable)
	}
	w := newTestEnv(f, catchAllRoute(true))
	s := w.startIn("d1", "vm-1", w.store.NewClient())
	f.Fuzz(func(t *testing.T, leaving, retryAfter, date string, status int) {
		h := http.Header{"X-Leaving": {leaving}, "Retry-After": {retryAfter}, "Date": {date}}
		before := s.metrics.unreadNotices.Value()
		n := s.noticeOf("t1", status, h)
		if n.Backoff < 0 || n.Backoff > notice.MaxBackoff {
			t.Errorf("Retry-After %q with date %q: backoff %v", retryAfter, date, n.Backoff)
		}
		if n.Backoff > 0 && status != http.StatusServiceUnavailable {
			t.Errorf("status %d: backoff %v", status, n.Backoff)
		}
		if s.metrics.unreadNotices.Value() == before+2 && !n.Empty() {
			t.Errorf("two fields that cannot be read: %+v", n)
		}
		h["X-Leaving"] = []string{leaving, leaving}
		if s.noticeOf("t1", status, h).Leaving {
			t.Errorf("repeated field %q counts", leaving)
		}
	})
}

// noticeStatus returns how many targets of the service are leaving or in a backoff.
func (s *Server) noticeStatus() (leaving, backOff int) {
	st := s.serviceStatus()
	return st.Leaving, st.BackOff
}

// Guards against notices that are read from some kinds of answers only.
func TestNoticesAreReadFromAnyAnswer(t *testing.T) {
	own := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testFields.RequestID, r.Header.Get(testFields.RequestID))
		rw.Header().Set(testFields.Stamp, "s")
	}
	for name, c := range map[string]struct {
		answer           http.HandlerFunc
		leaving, backOff int
		unread           int64
	}{
		"a success": {leaving: 1, answer: func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Leaving", "1")
			respondOK("hello")(rw, r)
		}},
		"a failure": {leaving: 1, answer: func(rw http.ResponseWriter, r *http.Request) {
			own(rw, r)
			rw.Header().Set("X-Leaving", "1")
			rw.WriteHeader(http.StatusInternalServerError)
		}},
		"an answer that is cut": {leaving: 1, answer: func(rw http.ResponseWriter, r *http.Request) {
			own(rw, r)
			rw.Header().Set("X-Leaving", "1")
			rw.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(rw, "half")
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}},
		"a refusal with both": {leaving: 1, backOff: 1, answer: func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Leaving", "1")
			rw.Header().Set(testFields.NotRun, "1")
			rw.Header().Set("Retry-After", "30")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}},
		"a refusal that does not say that nothing ran": {backOff: 1, answer: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Retry-After", "30")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}},
		"a success with Retry-After": {answer: func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Retry-After", "30")
			respondOK("hello")(rw, r)
		}},
		"an answer of another target": {answer: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("X-Leaving", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
		}},
		"fields that cannot be read": {unread: 2, answer: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("X-Leaving", "yes")
			rw.Header().Set("Retry-After", "-3")
			rw.Header().Set(testFields.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEnv(t, catchAllRoute(false))
			w.startTarget("t1", c.answer)
			s := w.startListed("vm-1")
			doRequest(t, s, http.MethodPost, "/x", "id-1")
			leaving, backOff := s.noticeStatus()
			is.Equal(leaving, c.leaving)
			is.Equal(backOff, c.backOff)
			is.Equal(s.metrics.unreadNotices.Value(), c.unread)
		})
	}
}

// Guards against an entry VM that keeps sending requests to targets that have asked
// it for a time without any, while another target lacks the slots for all of them.
func TestTargetsThatAskForABackoffGetNoRequests(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	var refused atomic.Int64
	refusing := func(rw http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		rw.Header().Set(testFields.NotRun, "1")
		rw.Header().Set("Retry-After", "60")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	w.startTarget("t1", refusing)
	w.startTarget("t2", refusing)
	w.startTarget("t3", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respondOK("hello")(rw, r)
	})
	s := w.startListed("vm-1")
	w.eventually("both targets have refused a request", func() bool {
		doRequest(t, s, http.MethodGet, "/x", "id")
		_, backOff := s.noticeStatus()
		return backOff == 2
	})
	before := refused.Load()
	done := make(chan bool)
	const callers, requests = 8, 10
	for n := range callers {
		go func() {
			for i := range requests {
				doRequest(t, s, http.MethodGet, "/x", fmt.Sprintf("id-%d-%d", n, i))
			}
			done <- true
		}()
	}
	for range callers {
		<-done
	}
	is.Equal(refused.Load(), before)
}

// Guards against a notice that only one of the two entry VMs on the way to another
// region follows.
func TestNoticeReachesBothVMsOfAForwardedRequest(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	var got atomic.Int64
	w.startRemoteTarget("t1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got.Add(1)
		rw.Header().Set("X-Leaving", "1")
		respondOK("hello")(rw, r)
	}))
	near, gate := w.startTwoRegions()
	res, _ := doRequest(t, near, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get("X-Leaving"), "1")
	for _, s := range []*Server{near, gate} {
		leaving, _ := s.noticeStatus()
		is.Equal(leaving, 1)
	}
	res, _ = doRequest(t, near, http.MethodGet, "/x", "id-2")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Header.Get("Retry-After") != "")
	is.Equal(got.Load(), int64(1))
}

// Guards against a VM that does not learn from its gateway why a request was held
// back, and sends it there again and again.
func TestGatewaySaysWhyARequestIsHeldBack(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startRemoteTarget("t1", respondOK("hello"))
	near, gate := w.startTwoRegions()
	gate.core.Post(&ingress.NoticeReceived{Target: "t1", Notice: notice.Notice{Backoff: 30 * time.Second}})
	w.eventually("the gateway knows the notice", func() bool {
		_, backOff := gate.noticeStatus()
		return backOff == 1
	})
	res, _ := doRequest(t, near, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	_, backOff := near.noticeStatus()
	is.Equal(backOff, 1)
	is.Equal(gate.metrics.forwarded.Value(), int64(1))
	doRequest(t, near, http.MethodGet, "/x", "id-2")
	is.Equal(gate.metrics.forwarded.Value(), int64(1))
}
