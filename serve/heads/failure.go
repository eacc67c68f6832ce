package heads

import (
	"net/http"

	"github.com/azurethread/azurethread/decide/verdict"
)

// Failure reads the verdict and reason that an entry VM states in place of a
// target's answer; nil if it states none.
func Failure(h http.Header) *verdict.Error {
	v, ok := verdict.Parse(h.Get(verdict.Header))
	if !ok || v == verdict.Ran {
		return nil
	}
	return &verdict.Error{Verdict: v, Reason: verdict.Reason(h.Get(verdict.HeaderReason))}
}

// SetFailure states a verdict and reason, for Failure to read.
func SetFailure(h http.Header, v verdict.Verdict, why verdict.Reason) {
	h[verdict.Header] = []string{v.String()}
	h[verdict.HeaderReason] = []string{string(why)}
}

// DropFailure removes what Failure reads: in an answer of a target it would be
// taken for an entry VM's word.
func DropFailure(h http.Header) {
	delete(h, verdict.Header)
	delete(h, verdict.HeaderReason)
}
