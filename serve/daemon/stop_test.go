package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Symptom: a process with several daemons panics as it ends.
// Sequence: a daemon that has been stopped is killed along with the others.
// Cause: the second clean-up closed what was closed.
func TestKillAfterStop(t *testing.T) {
	is := is.New(t)
	pool, err := outbound.NewPool(outbound.Options{
		DialTimeout:    time.Second,
		IdleTimeout:    time.Minute,
		MaxAnswerBytes: 1 << 10,
		Now:            func() clock.Time { return clock.FromWall(time.Now()) },
		Dial:           net.DialTimeout,
	})
	is.NoErr(err)
	d := &Daemon{pool: pool, cancel: func() {}}
	d.Kill()
	d.Kill()
}
