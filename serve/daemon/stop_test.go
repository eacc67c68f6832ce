package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Guards against a panic when a process with several daemons ends: a daemon that
// was stopped before is killed with the others, and the second clean-up closed
// resources twice.
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
