package pollers

import (
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/matryer/is"
)

// Guards against an entry VM that cannot start and hangs at full processor load
// instead of reporting the error: an engine is stopped right after its start,
// and a poller that starts after the stop clears its stop flag.
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
			t.Fatal("the engine did not stop within 10 s")
		}
	}
}

// Guards against an entry VM that does not start because no descriptor maps to
// one of its pollers: with an even number of pollers, as on a machine with 8
// cores, descriptors are taken in pairs and those given to nbio are all even.
func TestAnyNumberOfPollers(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 16; n++ {
		e := nbhttp.NewEngine(nbhttp.Config{NPoller: n})
		is.NoErr(e.Start())
		is.NoErr(Await(e))
		e.Stop()
	}
}
