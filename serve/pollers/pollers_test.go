package pollers

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
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
		started, err := Start(e)
		is.NoErr(err)
		stopped := make(chan struct{})
		go func() {
			started.Stop()
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
		started, err := Start(e)
		is.NoErr(err)
		started.Stop()
	}
}

// Guards against a new connection that is closed because another one has ended: it has
// the descriptor of a connection that was closed while the poller was about to process
// that the other side had hung up.
func TestAddAfterClose(t *testing.T) {
	is := is.New(t)
	started, err := Start(nbhttp.NewEngine(nbhttp.Config{NPoller: 1}))
	is.NoErr(err)
	t.Cleanup(started.Stop)
	gate, gateFar := testPair(t)
	entered, release := make(chan struct{}), make(chan struct{})
	gateFar.OnData(func(*nbio.Conn, []byte) {
		entered <- struct{}{}
		<-release
	})
	is.NoErr(started.Add(gateFar))
	ended, old := testPair(t)
	is.NoErr(started.Add(old))

	// The poller fetches the next byte of the gate and the end of old together, and is
	// held at the gate.
	write(t, gate)
	<-entered
	write(t, gate)
	is.NoErr(ended.Close())
	release <- struct{}{}
	<-entered
	started.Close(old)
	near, replacement := testPair(t)
	for replacement.Hash() != old.Hash() {
		near, replacement = testPair(t)
	}
	added := make(chan error, 1)
	go func() { added <- started.Add(replacement) }()
	time.Sleep(20 * time.Millisecond) // without a barrier it is registered by now
	release <- struct{}{}
	is.NoErr(<-added)

	is.NoErr(started.Write(replacement, []byte{1}))
	var b [1]byte
	_, err = near.Read(b[:])
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.NoErr(started.Write(replacement, []byte{1})) // still open
}

// Guards against bytes that are taken from another connection: the socket of one that
// has been closed was duplicated, and its descriptor was another's by then.
func TestHoldRefusesClosedConnection(t *testing.T) {
	is := is.New(t)
	started, err := Start(nbhttp.NewEngine(nbhttp.Config{NPoller: 1}))
	is.NoErr(err)
	t.Cleanup(started.Stop)
	_, old := testPair(t)
	is.NoErr(started.Add(old))
	started.Close(old)
	_, replacement := testPair(t)
	for replacement.Hash() != old.Hash() {
		_, replacement = testPair(t)
	}
	is.NoErr(started.Add(replacement))
	_, _, err = started.Hold(old)
	is.True(errors.Is(err, net.ErrClosed))
}

// testPair returns a socket pair. What the far end receives is ignored.
func testPair(t *testing.T) (near net.Conn, far *nbio.Conn) {
	t.Helper()
	near, std, err := socketPair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	if far, err = nbio.NBConn(std); err != nil {
		t.Fatal(err)
	}
	far.OnData(func(*nbio.Conn, []byte) {})
	return near, far
}

func write(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
}

// Guards against data that is read and dropped as its connection is closed: what the poller
// has read is processed before a function given to Run, and nothing is read during it.
func TestRunFollowsWhatWasRead(t *testing.T) {
	is := is.New(t)
	started, err := Start(nbhttp.NewEngine(nbhttp.Config{NPoller: 1}))
	is.NoErr(err)
	var processed atomic.Int64
	near, far := testPair(t)
	far.OnData(func(_ *nbio.Conn, data []byte) { processed.Add(int64(len(data))) })
	is.NoErr(started.Add(far))
	for range 100 {
		write(t, near)
		started.Run(far, func() {
			before := processed.Load()
			_, _ = near.Write([]byte{0})
			time.Sleep(time.Millisecond)
			if processed.Load() != before {
				t.Error("data was read during Run")
			}
		})
	}
	is.NoErr(started.Sync(t.Context()))
	started.Stop()
	is.NoErr(started.Sync(t.Context())) // returns
}
