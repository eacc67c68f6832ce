package ingress

import (
	"errors"
	"strconv"
	"strings"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/outbound"
)

// rateLimitOf parses the rate limit stated in an answer. A limit that cannot be
// parsed is counted, logged and otherwise ignored.
func (s *Server) rateLimitOf(k *call, a *attempt, ans *outbound.Answer) ingress.RateLimit {
	var values []string
	for _, name := range s.settings.Fields.RateLimits {
		if values = ans.Header[name]; len(values) > 0 {
			break
		}
	}
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

// Errors from parsing rate limits.
var (
	errRateRepeated = errors.New("header field has several values")
	errRateForm     = errors.New("not a decimal number")
)

// maxRateDigits limits the length of a rate. More digits would not change its
// value noticeably.
const maxRateDigits = 32

// parseRate parses a decimal number of requests per second. Signs, exponents and
// words for infinity are rejected.
func parseRate(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, errRateRepeated
	}
	v := strings.TrimSpace(values[0])
	if v == "" || len(v) > maxRateDigits || strings.Trim(v, "0123456789.") != "" {
		return 0, errRateForm
	}
	rate, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, errRateForm
	}
	return rate, nil
}
