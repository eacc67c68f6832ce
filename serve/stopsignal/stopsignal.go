// Package stopsignal receives the signal that asks a process to stop, and tells for how long
// it may have been pending: a process that gets no processor time handles it late.
//
// The kernel does not tell when a signal was sent. The package therefore notes at short
// intervals that the process runs. A signal that comes during a gap, or soon after it, may
// have been sent at its beginning.
package stopsignal

import (
	"os"
	"os/signal"
	"time"

	"github.com/azurethread/azurethread/serve/boottime"
)

const (
	// interval is the time between two notes that the process runs.
	interval = 100 * time.Millisecond
	// maxGap is the longest time between two notes that counts as no gap.
	maxGap = 5 * interval / 2
	// settleTime is how long after a gap a signal may take to be received that was sent in it.
	settleTime = 3 * interval / 2
)

// Stop is a signal that asks the process to stop.
type Stop struct {
	Signal os.Signal
	// Since is when the signal was sent at the earliest, on the clock of package boottime.
	Since time.Duration
}

// Pending returns for how long the signal may have been pending by now.
func (s Stop) Pending() time.Duration { return boottime.Now() - s.Since }

// Notify returns a channel for the first of some signals. They are received from now on.
func Notify(signals ...os.Signal) <-chan Stop {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	out := make(chan Stop, 1)
	go wait(received, gaps{ran: boottime.Now()}, out)
	return out
}

func wait(received <-chan os.Signal, g gaps, out chan<- Stop) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case sig := <-received:
			now := boottime.Now()
			out <- Stop{sig, now - g.pending(now)}
			return
		case <-t.C:
			g.note(boottime.Now())
		}
	}
}

// gaps knows when the process has not run lately. Times are those of package boottime.
type gaps struct {
	ran        time.Duration // the last note
	began, end time.Duration // of the last gap; end is 0 if there was none
}

// note notes that the process runs now.
func (g *gaps) note(now time.Duration) {
	if now-g.ran > maxGap {
		g.began, g.end = g.ran, now
	}
	g.ran = now
}

// pending returns for how long a signal that is received now may have been pending.
func (g *gaps) pending(now time.Duration) time.Duration {
	since := g.ran
	g.note(now)
	if g.end > 0 && now-g.end < settleTime {
		since = g.began
	}
	return now - since
}
