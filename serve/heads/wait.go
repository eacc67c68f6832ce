package heads

import (
	"strconv"
	"time"
)

// MaxWait is the longest wait that a field may state.
const MaxWait = time.Hour

// Wait reads a field that states a time in whole milliseconds; 0 when it is
// empty. ok is false for anything else, and beyond MaxWait.
func Wait(value string) (d time.Duration, ok bool) {
	if value == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > MaxWait.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
