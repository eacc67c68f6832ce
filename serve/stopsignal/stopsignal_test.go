package stopsignal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that takes a signal for fresh which was sent while the process did
// not run.
func TestPendingSinceTheGapBegan(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name  string
		notes []time.Duration
		now   time.Duration
		want  time.Duration
	}{
		{"process that runs", []time.Duration{10 * s, 10*s + interval}, 10*s + 2*interval, interval},
		{"signal is seen first after the gap", []time.Duration{10 * s}, 12 * s, 2 * s},
		{"a note is made first", []time.Duration{10 * s, 12 * s}, 12*s + interval, 2*s + interval},
		{"long after the gap", []time.Duration{10 * s, 12 * s, 12*s + interval}, 12*s + 2*interval, interval},
		{"second gap at once", []time.Duration{10 * s, 12 * s}, 13 * s, s},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g gaps
			g.ran = 10 * s
			for _, now := range c.notes {
				g.note(now)
			}
			is.New(t).Equal(g.pending(c.now), c.want)
		})
	}
}
