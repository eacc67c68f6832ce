// Package explain merges the log lines of several entry VMs into the timeline
// of one request. The timeline contains the request's own lines and earlier
// lines about the state of its targets, of the store and of the entry VM that
// answered it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a log line that is relevant to a request.
type Line struct {
	Time   time.Time      `json:"time"`
	VM     string         `json:"vm,omitempty"`
	Event  string         `json:"event"`
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields"`
}

// Report is the timeline of a request.
type Report struct {
	Request string `json:"request"`
	Cause   string `json:"cause"` // why the request ended as it did, as a sentence
	Lines   []Line `json:"lines"`
}

// lookback is the time before the end of a request from which other lines are
// included.
const lookback = 10 * time.Second

// eventUnsolicited is the event of lines about bytes that belong to no request. Such a line
// names the request that its connection carried, and may come after that request's own line.
const eventUnsolicited = "unsolicited"

// maxLineSize is the largest size of a log line in bytes.
const maxLineSize = 1 << 20

// ErrNotFound means that no log line refers to the request. Only a sample of
// the answered requests is logged.
var ErrNotFound = errors.New("explain: no log line for this request")

// Read builds the report on a request from log lines. It skips any text before
// the first brace of a line, such as a time or a host name, and lines that are
// not JSON. A line without a VM takes the last word of that text as its VM.
func Read(request string, logs io.Reader) (*Report, error) {
	all, err := parse(logs)
	if err != nil {
		return nil, err
	}
	r := &Report{Request: request}
	var own []Line
	targets := make(map[string]bool)
	for _, l := range all {
		if l.Fields["request"] == request && l.Event != eventUnsolicited {
			own = append(own, l)
			addTargets(targets, l)
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, request)
	}
	last := own[len(own)-1]
	for _, l := range all {
		if l.Fields["request"] == request || (shortlyBefore(l, last) && isRelevant(l, last, targets)) || isQuarantineOf(l, last) {
			r.Lines = append(r.Lines, l)
		}
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	r.Cause = cause(last)
	return r, nil
}

func parse(logs io.Reader) ([]Line, error) {
	var all []Line
	s := bufio.NewScanner(logs)
	s.Buffer(nil, maxLineSize)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var f map[string]any
		if json.Unmarshal(s.Bytes()[i:], &f) != nil {
			continue
		}
		l := Line{Fields: f, VM: stringOf(f["vm"]), Event: stringOf(f["event"]), Text: stringOf(f["msg"])}
		if l.VM == "" {
			l.VM = lastWord(string(s.Bytes()[:i])) // the prefix that log collectors add
		}
		at, err := time.Parse(time.RFC3339Nano, stringOf(f["time"]))
		if err != nil || l.Event == "" {
			continue
		}
		l.Time = at
		all = append(all, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return all, nil
}

func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

func lastWord(s string) string {
	words := strings.Fields(s)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// sends returns the attempts listed in the log line of a request.
func sends(l Line) []map[string]any {
	list, _ := l.Fields["sends"].([]any)
	var out []map[string]any
	for _, x := range list {
		if m, ok := x.(map[string]any); ok {
			out = append(out, m)
		}
	}
	return out
}

func addTargets(to map[string]bool, l Line) {
	for _, s := range sends(l) {
		to[stringOf(s["target"])] = true
	}
}

// isQuarantineOf reports whether l is about the quarantine of requests with the
// fingerprint of own. The quarantine may have begun long before the request.
func isQuarantineOf(l, own Line) bool {
	f := stringOf(own.Fields["fingerprint"])
	return l.Event == "quarantine" && f != "" && stringOf(l.Fields["fingerprint"]) == f && !l.Time.After(own.Time)
}

// shortlyBefore reports whether l was written at most lookback before the
// request's line.
func shortlyBefore(l, own Line) bool {
	return !l.Time.After(own.Time) && own.Time.Sub(l.Time) <= lookback
}

// isRelevant reports whether l is about one of the request's targets, or about
// the state of the entry VM that answered it.
func isRelevant(l, own Line, targets map[string]bool) bool {
	switch l.Event {
	case eventUnsolicited:
		return namesAny(l, targets)
	case "target":
		return namesAny(l, targets) || (stringOf(own.Fields["reason"]) == "target-unavailable" && notices[l.Text])
	case "quota":
		return stringOf(own.Fields["reason"]) == "over-quota" && l.Fields["account"] == own.Fields["account"]
	case "store", "config", "evacuate", "members", "relay", "start", "stop", "reload":
		return l.VM == own.VM
	}
	return false
}

// notices are the texts of lines about what a target states about its availability.
var notices = map[string]bool{
	"states that it is leaving": true,
	"asks for a backoff":        true,
	"backoff has ended":         true,
}

// namesAny reports whether a line about one or more targets names one of
// targets.
func namesAny(l Line, targets map[string]bool) bool {
	if targets[stringOf(l.Fields["target"])] {
		return true
	}
	for _, field := range []string{"draining_targets", "gone_targets"} {
		list, _ := l.Fields[field].([]any)
		if slices.ContainsFunc(list, func(id any) bool { return targets[stringOf(id)] }) {
			return true
		}
	}
	return false
}

// cause returns a sentence on why a request ended as it did.
func cause(l Line) string {
	why, v := stringOf(l.Fields["reason"]), stringOf(l.Fields["verdict"])
	n := len(sends(l))
	switch {
	case why == "" && v == "ran":
		return "A target answered."
	case why == "caller-gone":
		return fmt.Sprintf("The caller disconnected; %d sends were in progress or had ended.", n)
	case why == "not-ready":
		return "The entry VM had no configuration yet; nothing was sent."
	case why == "key-missing":
		return "The request presented no key that can be read, and its route is not public; nothing was sent."
	case why == "key-unknown":
		return "No account of the configuration in force holds the key; nothing was sent after that was known."
	case why == "no-common-region":
		return "The route and the account allow no common region; nothing was sent."
	case why == "account-defect":
		return "The account has a defect in the configuration; nothing was sent."
	case why == "over-quota":
		return fmt.Sprintf("Account %s had no token left at the entry VM that places its requests; it has not run there.", stringOf(l.Fields["account"]))
	case why == "target-unavailable" && v == "not-run":
		return "All targets that may run it are leaving or have asked for a backoff; it has not run."
	case why == "unknown-service":
		return "No route of the configuration in force matches; nothing was sent."
	case n == 0:
		return fmt.Sprintf("Refused without a send (%s): it has not run.", why)
	case v == "not-run":
		return fmt.Sprintf("Each of %d sends was refused or could not be sent (%s): it has not run.", n, why)
	case why == "deadline":
		return fmt.Sprintf("%d sends, and no answer within the time limits of the caller and the route: it may have run.", n)
	default:
		return fmt.Sprintf("%d sends; the last ended with %s: it may have run.", n, why)
	}
}

// Print writes the report as text.
func Print(w io.Writer, r *Report) {
	fmt.Fprintf(w, "request %s: %s\n", r.Request, r.Cause)
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s  %-24s %-9s %s%s\n", l.Time.Format("15:04:05.000"), l.VM, l.Event, l.Text, details(l))
		for _, s := range sends(l) {
			to := stringOf(s["target"])
			if s["hedge"] == true {
				to += " as a hedge"
			}
			fmt.Fprintf(w, "%12s  after %v ms to %v: %v in %v ms %v (%v)%s\n", "",
				s["after_ms"], to, s["outcome"], s["took_ms"], stringOf(s["reason"]), s["verdict"], evidence(s))
		}
	}
}

// evidence returns what the verdict of a send rests on: the error that ended it, or, if the
// request has not run, what ties the target's answer to it.
func evidence(send map[string]any) string {
	if e := stringOf(send["error"]); e != "" {
		return ": " + e
	}
	a, ok := send["answer"].(map[string]any)
	if !ok || stringOf(send["verdict"]) != "not-run" {
		return ""
	}
	names := "names no request"
	if a["named"] == true {
		names = "names the request"
	}
	text := fmt.Sprintf(": the answer %s, came %v ms after the write, and %v answers had come on its connection before", names, a["head_ms"], a["earlier"])
	if rtt, ok := a["rtt_ms"]; ok {
		text += fmt.Sprintf("; a round trip takes %v ms or more", rtt)
	}
	return text
}

// detailFields lists the fields that details prints, in this order.
var detailFields = []string{
	"status", "verdict", "reason", "took_ms", "patience_ms", "retry_after_ms", "config", "store_age_ms",
	"store_reached", "target", "registered", "draining", "gone", "cold_ms", "stated_ms", "age_ms", "field", "version", "revision", "domain", "begin",
	"count", "changed", "settings", "error", "fingerprint", "route", "ends", "trials",
	"account", "from", "rate", "burst", "own_rate", "own_depth", "tokens", "demand", "addr", "kind",
}

func details(l Line) string {
	var b strings.Builder
	for _, name := range detailFields {
		if v, ok := l.Fields[name]; ok && v != "" {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
