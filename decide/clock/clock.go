// Package clock defines the instants that the decision code works with.
//
// Decisions never read a clock: every event carries the instant at which it
// was observed. A daemon reads the wall clock once at start and then advances
// it by the monotonic clock, so instants never decrease within one process,
// even if an operator sets the machine's clock back.
package clock

import "time"

// Time is an instant in nanoseconds since the Unix epoch.
type Time int64

// Never is later than every instant; it marks a timer that is not set.
const Never = Time(1<<63 - 1)

// Add returns the instant d after t, saturating at Never.
func (t Time) Add(d time.Duration) Time {
	s := t + Time(d)
	if d > 0 && s < t {
		return Never
	}
	return s
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Min returns the earlier of two instants.
func Min(a, b Time) Time {
	if a < b {
		return a
	}
	return b
}

// Wall converts t to a wall-clock time, for display and for comparison with
// calendar windows.
func (t Time) Wall() time.Time { return time.Unix(0, int64(t)).UTC() }

// FromWall converts a wall-clock time to an instant.
func FromWall(w time.Time) Time { return Time(w.UnixNano()) }
