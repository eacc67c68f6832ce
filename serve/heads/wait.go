package heads

import (
	"strconv"
	"time"
)

// MaxDuration is the longest duration that a field may state.
const MaxDuration = time.Hour

// ParseMillis parses a field that states a duration in whole milliseconds; an empty
// field is 0. ok is false for anything else and for values above MaxDuration.
func ParseMillis(value string) (d time.Duration, ok bool) {
	if value == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > MaxDuration.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
