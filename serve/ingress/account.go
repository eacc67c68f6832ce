package ingress

import (
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Callers present the key of their client account as a bearer token. The key itself
// is passed to the reducer as a digest and never leaves this VM.

const (
	credentialsField = "Authorization"
	challengeField   = "Www-Authenticate" // of answers with 401
	challenge        = "Bearer"
	bearerScheme     = "bearer"
)

// presentedKey returns the digest of the key that a request presents; nil if there
// is none, or not exactly one.
func presentedKey(h http.Header) *route.KeyDigest {
	values := h[credentialsField]
	if len(values) != 1 {
		return nil
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || key == "" || !strings.EqualFold(scheme, bearerScheme) {
		return nil
	}
	d := route.DigestKey(key)
	return &d
}

// setAccount replaces what a caller states about its account by what its key
// proves, and removes the key.
func setAccount(h http.Header, field string, e *ingress.Send) {
	if !e.KeepCredentials {
		delete(h, credentialsField)
	}
	delete(h, field)
	if e.Account != "" {
		h[field] = []string{string(e.Account)}
	}
}

// isUnauthorized reports whether a request was refused for lack of a valid key.
func isUnauthorized(why verdict.Reason) bool {
	return why == verdict.ReasonKeyMissing || why == verdict.ReasonKeyUnknown
}

// logQuotaRefusal records why a request was refused over quota, at the VM that
// decided it.
func (s *Server) logQuotaRefusal(e *ingress.QuotaRefusal) {
	line, condensed := s.quotaSampler.sampleFailure(s.now())
	if !line {
		return
	}
	s.event(eventQuota).WithFields(logrus.Fields{
		"vm": s.settings.Self.ID, "account": e.Account, "from": e.From, "config": s.configVersion(),
		"rate": e.Quota.PerSecond, "burst": e.Quota.Burst, "own_rate": e.Own.Rate, "own_depth": e.Own.Depth,
		"tokens": e.Tokens, "demand": e.Demand, "retry_after_ms": e.RetryAfter.Milliseconds(),
		"store_age_ms": s.storeAge().Milliseconds(), "condensed": condensed,
		"priority": e.Priority, "kept": e.Kept, "scarce": e.Scarce,
	}).Info("account has no token left here")
}
