package ingress

import (
	"errors"
	"strconv"
	"strings"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/outbound"
)

// rateLimitOf reads the rate limit that an answer names. One that can't be read is
// counted and logged, and says nothing.
func (s *Server) rateLimitOf(k *call, a *attempt, ans *outbound.Answer) ingress.RateLimit {
	var values []string
	for _, name := range s.settings.Fields.RateLimits {
		if values = ans.Header[name]; len(values) > 0 {
			break
		}
	}
	if len(values) == 0 {
		return ingress.RateLimit{Heard: true}
	}
	rate, err := parseRate(values)
	if err != nil {
		s.logUnreadLimit(k, a, values, err)
		return ingress.RateLimit{}
	}
	return ingress.RateLimit{Heard: true, Named: true, PerSecond: rate}
}

// logUnreadLimit writes a line about a limit that can't be read; they count as
// failures, so that a target that names one in each answer does not fill the
// log.
func (s *Server) logUnreadLimit(k *call, a *attempt, values []string, err error) {
	s.metrics.unreadLimits.Add(1)
	if line, _ := s.sampler.sampleFailure(s.now()); !line {
		return
	}
	k.mu.Lock()
	target := k.sends[a.sendIndex].Target
	k.mu.Unlock()
	s.event(eventTarget).WithError(err).WithField("target", target).Warn("rate limit cannot be read")
}

// Errors of rate limits.
var (
	errRateRepeated = errors.New("several values")
	errRateForm     = errors.New("not a decimal number")
)

// maxRateDigits bounds the text of a rate: more digits say nothing.
const maxRateDigits = 32

// parseRate reads a decimal number of requests a second. Signs, exponents and
// words for infinity are none.
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
