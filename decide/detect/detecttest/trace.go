// Package detecttest provides traces of the events of a group of connections,
// targets or entry VMs, and scores failure detectors on them.
//
// A trace is a list of events, among them the actual stops of members. It does
// not depend on the detector, so every detector gets the same events. Generate
// creates traces from a seed; Decode reads recorded ones. Score replays a trace
// and measures detection times and false suspicions.
package detecttest

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

// Kind is the kind of an event.
type Kind byte

// The kinds of events. Their values are the letters used in trace files.
const (
	Sent  Kind = 's' // a request was sent; the member owes an answer
	Heard Kind = 'h' // a heartbeat or part of an answer was received
	Done  Kind = 'd' // a complete answer was received
	Stop  Kind = 'x' // the member stops answering; hidden from the detector
)

// Event is one entry of a trace.
type Event struct {
	At   clock.Time
	Kind Kind
	ID   detect.ID
}

// Trace is a sequence of events in order of time.
type Trace struct {
	Name   string
	Events []Event
}

// Duration returns the time from the first event to the last.
func (t Trace) Duration() time.Duration {
	if len(t.Events) == 0 {
		return 0
	}
	return t.Events[len(t.Events)-1].At.Sub(t.Events[0].At)
}

// Encode writes one line per event: microseconds, kind, member.
func Encode(w io.Writer, t Trace) error {
	b := bufio.NewWriter(w)
	for _, e := range t.Events {
		fmt.Fprintf(b, "%d %c %d\n", int64(e.At)/int64(time.Microsecond), e.Kind, e.ID)
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("detecttest: write trace %s: %w", t.Name, err)
	}
	return nil
}

// Decode reads a trace written by Encode.
func Decode(r io.Reader, name string) (Trace, error) {
	t := Trace{Name: name}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var micros int64
		var e Event
		if _, err := fmt.Sscanf(lines.Text(), "%d %c %d", &micros, &e.Kind, &e.ID); err != nil {
			return t, fmt.Errorf("detecttest: trace %s line %d: %w", name, len(t.Events)+1, err)
		}
		e.At = clock.Time(micros * int64(time.Microsecond))
		t.Events = append(t.Events, e)
	}
	if err := lines.Err(); err != nil {
		return t, fmt.Errorf("detecttest: read trace %s: %w", name, err)
	}
	return t, nil
}
