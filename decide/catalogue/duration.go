package catalogue

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text such as "30s" in files and
// messages.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It refuses negative
// durations.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	if v < 0 {
		return fmt.Errorf("catalogue: negative duration %q", b)
	}
	*d = Duration(v)
	return nil
}
