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
