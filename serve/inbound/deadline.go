package inbound

import "time"

// deadline is an instant that may be moved, and a timer for it. Its methods must be
// called with the mutex held that guards it.
type deadline struct {
	at    time.Time // zero: none
	timer *time.Timer
}

// set moves the deadline to the time after from now. f is called then, without the
// mutex; it must ask due under the mutex first.
func (d *deadline) set(after time.Duration, f func()) {
	d.at = time.Now().Add(after)
	if d.timer == nil {
		d.timer = time.AfterFunc(after, f)
		return
	}
	d.timer.Reset(after)
}

func (d *deadline) clear() {
	d.at = time.Time{}
	if d.timer != nil {
		d.timer.Stop()
	}
}

// due reports whether the deadline has ended. It may have been moved or cleared after
// its timer had fired.
func (d *deadline) due() bool {
	if d.at.IsZero() {
		return false
	}
	left := time.Until(d.at)
	if left > 0 {
		d.timer.Reset(left)
	}
	return left <= 0
}
