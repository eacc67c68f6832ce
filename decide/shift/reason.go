package shift

import (
	"fmt"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Code is the kind of reason for which a shift holds, recedes or takes less
// than a whole step.
type Code string

// The codes. docs/operators/shifts.md describes what operators do about each.
const (
	None             Code = ""
	NotRunning       Code = "not-running"       // draft, approved, paused, done or rolled back
	PlatformCutOff   Code = "platform-cut-off"  // the platform is unreachable, the catalogue can't be written
	OutsideWindow    Code = "outside-window"    // Limits.Window
	WaitingInterval  Code = "waiting-interval"  // Limits.Interval, or the last step back is not in the figures yet
	StaleMeasurement Code = "stale-measurement" // no fresh, complete figures
	AwaitingProof    Code = "awaiting-proof"    // the figures are from before the last step took effect
	NoHeadroom       Code = "no-headroom"       // Limits.MinHeadroom
	SharedHeadroom   Code = "shared-headroom"   // another shift's step has reserved the headroom
	ColdCache        Code = "cold-cache"        // the receiver is warming up
	Latency          Code = "latency"           // Limits.MaxP99
	Errors           Code = "errors"            // Limits.MaxErrorShare
	CountedShare     Code = "counted-share"     // Limits.MaxShare, applied to counted requests
	ReceiverNotLive  Code = "receiver-not-live" // dead, leaving or without targets
	ReceiverEmptying Code = "receiver-emptying" // another shift moves traffic out of it
	SenderNotLive    Code = "sender-not-live"   // nothing to move, or nowhere to move back to
	RollingBack      Code = "rolling-back"      // until rolled-back; doesn't advance again
	NoServices       Code = "no-services"       // the catalogue has no service that the shift moves
)

// Reason is a Code with the figures that explain it; fields that don't apply
// are zero.
type Reason struct {
	Code        Code
	Cause       Code // of RollingBack: what caused it or what delays it
	Region      fleet.Region
	Service     fleet.ServiceName
	OtherShift  string  // id of the shift that reserved the headroom or drains the receiver
	SlotsNeeded float64 // slots that the step may take
	SlotsFree   float64 // free slots beyond MinHeadroom
	Share       float64 // counted or error share, 0 to 1
	Forecast    bool    // Share is the forecast after a step, with its sampling margin
	Bound       float64 // limit of Share, 0 to 1
	P99         time.Duration
	Limit       time.Duration // bound on P99
	Age         time.Duration // of the oldest figure
	Until       clock.Time    // when the wait ends
	Missing     int           // entry VMs that have not reported
}

// separator is the text between the code and its explanation in a Hold text.
const separator = ": "

// String returns the code and an explanation for operators, as stored in
// catalogue.Shift.Hold; empty for no reason.
func (r Reason) String() string {
	if r.Code == None {
		return ""
	}
	text := r.explain()
	if text == "" {
		return string(r.Code)
	}
	return string(r.Code) + separator + text
}

// ParseCode returns the code of a text made by Reason.String. For any other
// text, such as an operator's, it returns a Code that is not one of this
// package's.
func ParseCode(hold string) Code {
	code, _, _ := strings.Cut(hold, separator)
	return Code(code)
}

func (r Reason) explain() string {
	switch r.Code {
	case WaitingInterval:
		return "until " + r.Until.Wall().Format(time.RFC3339)
	case StaleMeasurement:
		return r.explainStale()
	case AwaitingProof:
		return fmt.Sprintf("%s has no figures since the last step took effect", r.location())
	case NoHeadroom:
		return fmt.Sprintf("the step may take %.1f slots, %s has %.1f left above its least headroom", r.SlotsNeeded, r.location(), r.SlotsFree)
	case SharedHeadroom:
		return fmt.Sprintf("the step may take %.1f slots, %s has %.1f left beside shift %s", r.SlotsNeeded, r.location(), r.SlotsFree, r.OtherShift)
	case ColdCache:
		return fmt.Sprintf("%s is warming up", r.location())
	case Latency:
		return fmt.Sprintf("p99 at %s is %s, bound %s", r.location(), r.P99, r.Limit)
	case Errors:
		return fmt.Sprintf("%s of answers at %s failed, bound %s", percent(r.Share), r.location(), percent(r.Bound))
	case CountedShare:
		return fmt.Sprintf("%s %s of the requests counted%s, cap %s", r.movesPhrase(), percent(r.Share), r.ofService(), percent(r.Bound))
	case ReceiverNotLive, SenderNotLive:
		return fmt.Sprintf("%s can't serve", r.location())
	case ReceiverEmptying:
		return fmt.Sprintf("shift %s moves traffic out of %s", r.OtherShift, r.Region)
	case RollingBack:
		r.Code, r.Cause = r.Cause, None
		return r.String()
	default:
		return ""
	}
}

func (r Reason) explainStale() string {
	switch {
	case r.Missing > 0:
		return fmt.Sprintf("%d entry VMs have not reported for %s", r.Missing, r.location())
	case r.Age > 0:
		return fmt.Sprintf("figures of %s are %s old", r.location(), r.Age.Round(100*time.Millisecond))
	default:
		return fmt.Sprintf("no usable figures of %s", r.location())
	}
}

// location returns "region/service", or the region alone if no service is set.
func (r Reason) location() string {
	if r.Service == "" {
		return string(r.Region)
	}
	return string(r.Region) + "/" + string(r.Service)
}

func (r Reason) ofService() string {
	if r.Service == "" {
		return ""
	}
	return " of " + string(r.Service)
}

// movesPhrase returns the verb for Share: what the shift moves now, or what the
// next step may move.
func (r Reason) movesPhrase() string {
	if r.Forecast {
		return "the next step may move"
	}
	return "moves"
}

func percent(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) }

// fractionOf converts a share to 0..1.
func fractionOf(s catalogue.Share) float64 { return float64(s) / catalogue.ShareUnit }
