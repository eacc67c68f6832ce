package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// rateLimitOf parses the rate limit stated in an answer. A limit that cannot be
// parsed is counted, logged and otherwise ignored.
func (s *Server) rateLimitOf(k *call, a *attempt, ans *outbound.Answer) ingress.RateLimit {
	values := s.limitFields(ans.Header)
	if len(values) == 0 {
		return ingress.RateLimit{Known: true}
	}
	rate, err := parseRate(values)
	if err != nil {
		s.logUnreadLimit(k, a, values, err)
		return ingress.RateLimit{}
	}
	return ingress.RateLimit{Known: true, Limited: true, PerSecond: rate}
}

// limitFields returns the values of the field that states a rate limit.
func (s *Server) limitFields(h http.Header) []string {
	for _, name := range s.settings.Fields.RateLimits {
		if values := h[name]; len(values) > 0 {
			return values
		}
	}
	return nil
}

// logUnreadLimit logs a rate limit that cannot be parsed. It shares the limit of
// log lines with failed requests, so a target with such a limit in each answer
// does not fill the log.
func (s *Server) logUnreadLimit(k *call, a *attempt, values []string, err error) {
	s.metrics.unreadLimits.Add(1)
	if line, _ := s.sampler.sampleFailure(s.now()); !line {
		return
	}
	k.mu.Lock()
	target := k.sends[a.sendIndex].Target
	k.mu.Unlock()
	s.event(eventTarget).WithError(err).WithField("target", target).Warn("rate limit cannot be parsed")
}

// formatTerms returns the value of forwardTermsHeader, "" if terms state nothing.
func formatTerms(terms ingress.LimitTerms) string {
	switch {
	case terms.Counted:
		return limitCounted
	case terms.Ended:
		return limitEnded + " " + formatMillis(terms.EndedAge)
	default:
		return ""
	}
}

// parseTerms parses the value of forwardTermsHeader. A value that is not valid states
// nothing.
func parseTerms(v string) ingress.LimitTerms {
	if v == limitCounted {
		return ingress.LimitTerms{Counted: true}
	}
	word, age, _ := strings.Cut(v, " ")
	if since, ok := heads.ParseMillis(age); ok && age != "" && word == limitEnded {
		return ingress.LimitTerms{Ended: true, EndedAge: since}
	}
	return ingress.LimitTerms{}
}

// maxReturnedRate limits the rate in a returnedLimitHeader to what parseDecimal reads.
const maxReturnedRate = 1e9

// formatReturnedLimit returns the value of returnedLimitHeader.
func formatReturnedLimit(l ingress.TargetLimit) string {
	return strconv.FormatFloat(min(l.PerSecond, maxReturnedRate), 'f', -1, 64) + " " + formatMillis(l.Age)
}

// parseReturnedLimit parses the value of returnedLimitHeader.
func parseReturnedLimit(v string) (ingress.TargetLimit, bool) {
	rate, age, _ := strings.Cut(v, " ")
	perSecond, err := parseDecimal(rate)
	since, ok := heads.ParseMillis(age)
	if err != nil || !ok || age == "" {
		return ingress.TargetLimit{}, false
	}
	return ingress.TargetLimit{PerSecond: perSecond, Age: since}, true
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 0), 10) }

// Errors from parsing header fields.
var (
	errRepeated = errors.New("header field has several values")
	errDecimal  = errors.New("not a decimal number")
)

// parseRate parses a decimal number of requests per second.
func parseRate(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, errRepeated
	}
	return parseDecimal(values[0])
}

// maxDecimalDigits limits the length of a decimal number. More digits would not
// change its value noticeably.
const maxDecimalDigits = 32

// parseDecimal parses a decimal number. Signs, exponents and words for infinity are
// rejected.
func parseDecimal(v string) (float64, error) {
	v = strings.TrimSpace(v)
	if v == "" || len(v) > maxDecimalDigits || strings.Trim(v, "0123456789.") != "" {
		return 0, errDecimal
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, errDecimal
	}
	return x, nil
}
