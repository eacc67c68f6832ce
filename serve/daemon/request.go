package daemon

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
)

// Paths of the callers' interface.
const (
	pathCall    = "/v1/call/"   // /v1/call/<service>/<path at the target>
	pathLookup  = "/v1/lookup"  // ?service=S&client=IP&tokens=N
	pathOutcome = "/v1/outcome" // ?token=T
	pathReady   = "/v1/ready"
)

// Header fields of the callers' interface and of forwarded requests.
const (
	headerToken    = "Azurethread-Token"       // one-time token of a non-idempotent request
	headerDeadline = "Azurethread-Deadline-Ms" // time left, in milliseconds
	headerHops     = "Azurethread-Hops"        // times the request has been forwarded
	headerClient   = "Azurethread-Client"      // the client's home region and block, from a look-up
	headerWait     = "Azurethread-Wait-Ms"     // on forwarded requests: the queueing delay expected at the sender
	headerReason   = verdict.HeaderReason
	headerAttempt  = "Azurethread-Attempt" // identifies a send to a target or entry VM, which returns it in its answer
	headerRefused  = "Azurethread-Refused" // set by a target that has not executed a request
	headerLoad     = "Azurethread-Load"    // "in flight/slots" of the answering target
	headerRetry    = "Retry-After"         // seconds
	headerRetryMs  = "Azurethread-Retry-After-Ms"
)

// splitCall splits the URI of a call into the service and the path at the target.
// ok is false for other paths and for an empty service.
func splitCall(uri string) (service fleet.ServiceName, path string, ok bool) {
	rest, found := strings.CutPrefix(uri, pathCall)
	if !found {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, err := url.PathUnescape(rest[:end])
	if err != nil || name == "" {
		return "", "", false
	}
	path = rest[end:]
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	return fleet.ServiceName(name), path, true
}

// parseDeadline returns the deadline of a request; 0 if it has none. ok is false
// for a malformed value.
func parseDeadline(h http.Header, now clock.Time) (deadline clock.Time, ok bool) {
	v := h.Get(headerDeadline)
	d, ok := heads.ParseMillis(v)
	if v == "" || !ok {
		return 0, ok
	}
	return now.Add(d), true
}

// parseExpectedWait returns the queueing delay that a forwarding entry VM expects.
// It is 0 if absent or malformed, which only makes this entry VM less willing to
// queue the request.
func parseExpectedWait(h http.Header) time.Duration {
	d, _ := heads.ParseMillis(h.Get(headerWait))
	return d
}

// client is the origin of a request: the home region of its client block and the
// hash of the block.
type client struct {
	home  fleet.Region
	block uint64
}

// encode returns the value of headerClient: the region, a slash and the hash in hex.
func (c client) encode() string {
	return string(c.home) + "/" + strconv.FormatUint(c.block, 16)
}

// parseClient parses the value of headerClient.
func parseClient(v string) (client, bool) {
	i := strings.LastIndexByte(v, '/')
	if i < 0 {
		return client{}, false
	}
	b, err := strconv.ParseUint(v[i+1:], 16, 64)
	return client{home: fleet.Region(v[:i]), block: b}, err == nil
}

// remainingMillis returns the time until a deadline as the header value for the
// next hop.
func remainingMillis(deadline, now clock.Time) string {
	ms := max(deadline.Sub(now).Milliseconds(), 0)
	return strconv.FormatInt(ms, 10)
}
