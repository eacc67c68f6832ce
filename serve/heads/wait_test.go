package heads

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseMillis(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]time.Duration{"": 0, "0": 0, "1500": 1500 * time.Millisecond, "3600000": MaxDuration} {
		d, ok := ParseMillis(value)
		is.True(ok)
		is.Equal(d, want)
	}
	for _, value := range []string{"-1", "1.5", "1 ", "x", "3600001", "9223372036854775808"} {
		_, ok := ParseMillis(value)
		is.True(!ok)
	}
}
