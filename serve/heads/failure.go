package heads

import (
	"net/http"

	"github.com/azurethread/azurethread/decide/verdict"
)

// ParseFailure returns the verdict and reason that an entry VM states instead of a
// target's answer; nil if it states none.
func ParseFailure(h http.Header) *verdict.Error {
	v, ok := verdict.Parse(h.Get(verdict.Header))
	if !ok || v == verdict.Ran {
		return nil
	}
	return &verdict.Error{Verdict: v, Reason: verdict.Reason(h.Get(verdict.HeaderReason))}
}

// SetFailure writes a verdict and reason that ParseFailure can read.
func SetFailure(h http.Header, v verdict.Verdict, why verdict.Reason) {
	h[verdict.Header] = []string{v.String()}
	h[verdict.HeaderReason] = []string{string(why)}
}

// RemoveFailure removes the fields that ParseFailure reads. In a target's answer
// they would be mistaken for a verdict of an entry VM.
func RemoveFailure(h http.Header) {
	delete(h, verdict.Header)
	delete(h, verdict.HeaderReason)
}
