package ingress

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/boottime"
	"github.com/azurethread/azurethread/serve/heads"
)

// transitClock is the clock that this VM states in requests which it forwards through
// gateways (package transit). It also runs while the machine is suspended.
type transitClock struct {
	vm          fleet.VMID
	incarnation fleet.Incarnation
	// epoch counts the times that a gateway has mistaken a fresh request for one that was
	// held up: what it knows of the clock is wrong.
	epoch atomic.Uint64
}

// stamp returns the value of forwardSentHeader for a request that is sent now.
func (c *transitClock) stamp() string {
	name := strings.Join([]string{string(c.vm), strconv.FormatUint(uint64(c.incarnation), 10), strconv.FormatUint(c.epoch.Load(), 10)}, "/")
	return name + " " + strconv.FormatInt(boottime.Now().Milliseconds(), 10)
}

// maxStampMS is the largest clock in a stamp, in ms: two of them have a distance that fits
// into a time.Duration.
const maxStampMS = math.MaxInt64 / 2 / int64(time.Millisecond)

// parseStamp parses a value of forwardSentHeader: the name of the sender's clock, "" if it
// states none, and the distance of this VM's clock to it.
func parseStamp(v string) (name string, distance time.Duration) {
	name, text, ok := strings.Cut(v, " ")
	ms, err := strconv.ParseInt(text, 10, 64)
	if !ok || err != nil || ms < 0 || ms > maxStampMS {
		return "", 0
	}
	return name, boottime.Now() - time.Duration(ms)*time.Millisecond
}

// heldUpMargin is how much longer than a request was under way a gateway may believe it to
// have been held up.
const heldUpMargin = 100 * time.Millisecond

// checkHeldUp begins a new clock if a gateway has returned a request as held up for longer
// than it was under way.
func (s *Server) checkHeldUp(h http.Header, underWay time.Duration) {
	heldUp, ok := heads.ParseMillis(h.Get(returnedHeldUpHeader))
	if ok && heldUp > underWay+heldUpMargin {
		s.transitClock.epoch.Add(1)
	}
}

// logHeldUp logs a forwarded request whose time was over when it came. It shares the limit of
// log lines with failed requests.
func (s *Server) logHeldUp(k *call, heldUp time.Duration) {
	if line, _ := s.sampler.sampleFailure(s.now()); line {
		s.event(eventGateway).WithField("request", k.exchange.Header.Get(s.settings.Fields.RequestID)).
			WithField("held_up_ms", heldUp.Milliseconds()).Warn("a request to be forwarded came when its time was over: not sent")
	}
}
