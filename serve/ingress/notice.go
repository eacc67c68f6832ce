package ingress

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/notice"
	"github.com/azurethread/azurethread/serve/outbound"
)

// retryAfterHeader is how long a receiver wants no further request, as RFC 9110
// defines it; fractions of seconds are accepted too.
const retryAfterHeader = "Retry-After"

// noticeReader returns a function that reads the notice in the head of an answer to
// a send. The head is enough: a target that is leaving may not complete the body. A head that
// may belong to no request is believed as far as it keeps requests from the target, so its
// rate limit is read too; the answer itself is dropped.
func (s *Server) noticeReader(e *ingress.Send) func(outbound.Head) {
	target, startedAt := e.Target, e.StartedAt
	return func(h outbound.Head) {
		if n := s.noticeOf(target, h.Status, h.Header); !n.Empty() {
			s.core.Post(&ingress.NoticeReceived{Target: target, StartedAt: startedAt, Notice: n})
		}
		if h.Proved {
			return
		}
		if values := s.limitFields(h.Header); len(values) > 0 {
			if rate, err := parseRate(values); err == nil {
				s.core.Post(&ingress.LimitReceived{Limit: ingress.TargetLimit{Target: target, PerSecond: rate}, Doubtful: true})
			}
		}
	}
}

// noticeOf returns the notice in the head of an answer. A field that cannot be
// parsed is counted, logged and otherwise ignored.
func (s *Server) noticeOf(target fleet.TargetID, status int, h http.Header) notice.Notice {
	var n notice.Notice
	if status == http.StatusMisdirectedRequest {
		return n // the answer is from another target
	}
	var err error
	for _, name := range s.settings.Fields.Leaving {
		values, present := h[name]
		if !present {
			continue
		}
		if n.Leaving, err = parseFlag(values); err != nil {
			s.logUnreadNotice(target, name, err)
		}
		break
	}
	if values, present := h[retryAfterHeader]; present && status == http.StatusServiceUnavailable {
		if n.Backoff, err = parseRetryAfter(values, s.dateOf(h)); err != nil {
			s.logUnreadNotice(target, retryAfterHeader, err)
		}
	}
	return n
}

// setNotice writes a notice that noticeOf can read.
func (s *Server) setNotice(h http.Header, n notice.Notice) {
	if n.Leaving {
		h[s.settings.Fields.Leaving[0]] = []string{"1"}
	}
	if n.Backoff > 0 {
		h[retryAfterHeader] = []string{formatRetryAfter(n.Backoff)}
	}
}

// dateOf returns when an answer was made: by its own clock if it says so, as a date
// in another field is by that clock too.
func (s *Server) dateOf(h http.Header) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return time.Now()
}

// logUnreadNotice logs a notice that cannot be parsed. It shares the limit of log
// lines with failed requests.
func (s *Server) logUnreadNotice(target fleet.TargetID, field string, err error) {
	s.metrics.unreadNotices.Add(1)
	if line, _ := s.sampler.sampleFailure(s.now()); line {
		s.event(eventTarget).WithError(err).WithField("target", target).WithField("field", field).Warn("notice cannot be parsed")
	}
}

// Errors from parsing notices.
var (
	errFlag    = errors.New("neither 0 nor 1")
	errSeconds = errors.New("neither a decimal number of seconds nor a date")
)

// parseFlag parses a field that is 1 or 0.
func parseFlag(values []string) (bool, error) {
	if len(values) != 1 {
		return false, errRepeated
	}
	switch strings.TrimSpace(values[0]) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, errFlag
}

// parseRetryAfter parses a decimal number of seconds or an HTTP date, which is
// compared with now. A date in the past means 0.
func parseRetryAfter(values []string, now time.Time) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errRepeated
	}
	if at, err := http.ParseTime(strings.TrimSpace(values[0])); err == nil {
		return min(max(at.Sub(now), 0), notice.MaxBackoff), nil
	}
	seconds, err := parseDecimal(values[0])
	if err != nil {
		return 0, errSeconds
	}
	return time.Duration(min(seconds, notice.MaxBackoff.Seconds()) * float64(time.Second)), nil
}

// logTargetState logs a change of a target's state.
func (s *Server) logTargetState(c *ingress.TargetStateChange) {
	fields := logrus.Fields{"target": c.Target, "until": c.Until}
	if c.Stated > 0 {
		fields["stated_ms"] = c.Stated.Milliseconds()
	}
	if c.Age > 0 {
		fields["age_ms"] = c.Age.Milliseconds()
	}
	if c.Limit.Limited {
		fields["per_second"] = c.Limit.PerSecond
	}
	s.event(eventTarget).WithFields(fields).Info(c.Change)
}
