package pollers

import (
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/matryer/is"
)

// Symptom: an entry VM that cannot start hangs in place of saying why, with a
// processor at full load.
// Sequence: an engine is started and stopped at once.
// Cause: a poller that begins after the stop clears its stop flag.
func TestStopAfterStart(t *testing.T) {
	is := is.New(t)
	for range 200 {
		e := nbhttp.NewEngine(nbhttp.Config{NPoller: 3})
		is.NoErr(e.Start())
		is.NoErr(Await(e))
		stopped := make(chan struct{})
		go func() {
			e.Stop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			t.Fatal("the stop was lost")
		}
	}
}

// Symptom: an entry VM does not start, as no descriptor leads to a poller.
// Sequence: it has an even number of pollers, as on a machine of 8 cores.
// Cause: descriptors are taken by twos, and those given to nbio are all even.
func TestAnyNumberOfPollers(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 16; n++ {
		e := nbhttp.NewEngine(nbhttp.Config{NPoller: n})
		is.NoErr(e.Start())
		is.NoErr(Await(e))
		e.Stop()
	}
}
