// Package detecttest holds traces of what a group of connections, targets or
// entry VMs did, and scores failure detectors on them.
//
// A trace is a list of events with the truth about which members stopped. It
// does not react to the detector, so every detector sees the same events.
// Generate makes traces from a seed; Decode reads recorded ones. Score replays
// a trace and measures detection times and false suspicions.
package detecttest

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
)

// Kind says what an event tells.
type Kind byte

// The kinds of events, by the letters that stand for them in a trace file.
const (
	Sent  Kind = 's' // a request went out; the member owes an answer
	Heard Kind = 'h' // a heartbeat or part of an answer came
	Done  Kind = 'd' // a complete answer came
	Stop  Kind = 'x' // truth: the member answers nothing from here on
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

// Encode writes one line an event: microseconds, kind, member.
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

// Decode reads what Encode wrote.
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
