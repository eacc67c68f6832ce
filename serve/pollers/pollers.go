// Package pollers runs nbio engines whose connections can be closed and replaced at
// any time. It guards against two properties of nbio:
//
//   - Each poller clears its stop flag when its goroutine starts. An engine stopped
//     before then loses the stop: Stop never returns, and the poller spins on its
//     wake-up event. An entry VM whose second address is in use would hang in its
//     clean-up instead of reporting the error. Start returns when every poller is
//     past that point.
//   - A poller finds the connection of an event by its file descriptor. If another
//     goroutine closes a connection, events that the poller has already fetched for
//     it are still to come; a new connection with the same descriptor gets them, and
//     is closed if they say that the other side has hung up. Engine closes, writes to
//     and adds connections so that this does not happen.
package pollers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// pollerTimeout bounds the wait for a poller to process a byte.
const pollerTimeout = 10 * time.Second

// maxPairs bounds the socket pairs opened to reach one poller. nbio selects the
// poller by file descriptor, and the kernel assigns the lowest free one.
const maxPairs = 64

var (
	errSilent      = errors.New("pollers: an nbio poller did not process a byte in time")
	errUnreachable = errors.New("pollers: no file descriptor is served by the wanted nbio poller")
)

// Engine is a started nbhttp engine. Its connections must be added, written to and
// closed with its own methods.
type Engine struct {
	*nbhttp.Engine
	barriers []*barrier    // by poller
	stopped  chan struct{} // closed by Stop
}

// Start starts an engine and waits until all its pollers run.
func Start(e *nbhttp.Engine) (*Engine, error) {
	if err := e.Start(); err != nil {
		return nil, fmt.Errorf("pollers: start nbio engine: %w", err)
	}
	w := waiter{engine: e}
	defer w.close()
	out := &Engine{Engine: e, stopped: make(chan struct{})}
	for i := range e.NPoller {
		b, err := w.newBarrier(i)
		if err != nil {
			return nil, err
		}
		out.barriers = append(out.barriers, b)
		if err := b.pass(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Stop stops the engine and closes all its connections.
func (e *Engine) Stop() {
	e.Engine.Stop()
	close(e.stopped)
	for _, b := range e.barriers {
		_ = b.near.Close() // the engine has closed the far end
	}
}

// Add registers a connection, or closes it and returns an error. It must not be called
// during Stop.
func (e *Engine) Add(c *nbio.Conn) error {
	b := e.barrier(c)
	b.awaitRelease(c.Hash())
	if err := b.passAfterCloses(); err != nil {
		_ = c.Close()
		return err
	}
	if _, err := e.AddConn(c); err != nil {
		return fmt.Errorf("pollers: register connection: %w", err)
	}
	return nil
}

// Close closes a connection from any goroutine.
func (e *Engine) Close(c *nbio.Conn) {
	b := e.barrier(c)
	b.closing.RLock()
	defer b.closing.RUnlock()
	b.closes.Add(1)
	_ = c.Close() // an error means that it is closed
}

// Write writes to a connection from any goroutine. nbio closes it if that fails.
func (e *Engine) Write(c *nbio.Conn, p []byte) error {
	b := e.barrier(c)
	b.closing.RLock()
	defer b.closing.RUnlock()
	_, err := c.Write(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		b.closes.Add(1)
	}
	return err
}

// Run runs f on the goroutine of c's poller. What the poller has read from c by then has been
// processed, and nothing is read from c until f returns: of data that comes meanwhile the
// kernel knows that nobody has read it. f must not block. After Stop f does not run.
func (e *Engine) Run(c *nbio.Conn, f func()) { e.barrier(c).run(f) }

// Sync waits until what was given to Run before has run, the engine has stopped or ctx has
// ended, which is an error. It must not be called on a poller's goroutine.
func (e *Engine) Sync(ctx context.Context) error {
	ran := make(chan struct{}, len(e.barriers))
	for _, b := range e.barriers {
		b.run(func() { ran <- struct{}{} })
	}
	for range e.barriers {
		select {
		case <-ran:
		case <-e.stopped:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("pollers: wait for nbio's pollers: %w", ctx.Err())
		}
	}
	return nil
}

// Control calls f with the descriptor of an open connection; it returns an error if c is
// closed. It must be called on the poller's goroutine.
func (e *Engine) Control(c *nbio.Conn, f func(fd uintptr)) error {
	b := e.barrier(c)
	b.closing.Lock()
	defer b.closing.Unlock()
	return control(c, f)
}

// control is Control with the barrier's closing lock held: otherwise another goroutine could
// close c, and its descriptor be another's.
func control(c *nbio.Conn, f func(fd uintptr)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("pollers: access socket: %w", err)
	}
	if _, err := c.Write(nil); err != nil {
		return fmt.Errorf("pollers: access socket: %w", err)
	}
	if err := raw.Control(f); err != nil {
		return fmt.Errorf("pollers: access socket: %w", err)
	}
	return nil
}

// Hold duplicates the socket of an open connection, so that the way it ended can be
// read after nbio has closed it. release closes the duplicate. Until then epoll goes on
// to report the socket's events for the connection's descriptor, and no other connection
// with that descriptor is added. It must be called on the poller's goroutine.
func (e *Engine) Hold(c *nbio.Conn) (socket int, release func(), err error) {
	b, fd := e.barrier(c), c.Hash()
	b.closing.Lock()
	defer b.closing.Unlock()
	var dup error
	if err := control(c, func(fd uintptr) { socket, dup = syscall.Dup(int(fd)) }); err != nil {
		return 0, nil, err
	}
	if dup != nil {
		return 0, nil, fmt.Errorf("pollers: duplicate socket: %w", dup)
	}
	released := make(chan struct{})
	b.held.Store(fd, released)
	return socket, func() {
		b.closing.RLock()
		defer b.closing.RUnlock()
		b.closes.Add(1)
		_ = syscall.Close(socket) // nothing was written to it
		b.held.Delete(fd)
		close(released)
	}, nil
}

func (e *Engine) barrier(c *nbio.Conn) *barrier { return e.barriers[c.Hash()%len(e.barriers)] }

// barrier waits until a poller has processed the events that it has fetched.
type barrier struct {
	near   net.Conn // of a socket pair whose far end the poller serves
	passed chan struct{}

	// closing is read-locked while a connection may be closed and counted in closes.
	closing sync.RWMutex
	closes  atomic.Int64

	mu      sync.Mutex // one pass at a time: a byte of another one could be read with it
	covered int64      // closes before the last pass

	tasksMu sync.Mutex
	tasks   []func() // to be run by the poller

	held sync.Map // by descriptor: the chan struct{} that Hold's release closes
}

// awaitRelease waits until the socket that had a descriptor before is not held.
func (b *barrier) awaitRelease(fd int) {
	if released, ok := b.held.Load(fd); ok {
		<-released.(chan struct{})
	}
}

// passAfterCloses waits for the poller if a connection has been closed since the last
// pass. The descriptor of a connection that is to be added was free before this call,
// so its last close is counted.
func (b *barrier) passAfterCloses() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing.Lock()
	closes := b.closes.Load()
	b.closing.Unlock()
	if closes == b.covered {
		return nil
	}
	if err := b.pass(); err != nil {
		return err
	}
	b.covered = closes
	return nil
}

// Bytes sent to the poller.
const (
	passByte byte = iota // a pass waits for it
	taskByte             // there are tasks
)

// onData is called by the poller.
func (b *barrier) onData(_ *nbio.Conn, data []byte) {
	b.tasksMu.Lock()
	tasks := b.tasks
	b.tasks = nil
	b.tasksMu.Unlock()
	for _, f := range tasks {
		f()
	}
	if bytes.IndexByte(data, passByte) >= 0 {
		b.passed <- struct{}{}
	}
}

// run has the poller run f. A byte is sent for the first of the tasks that wait only, so the
// write does not block.
func (b *barrier) run(f func()) {
	b.tasksMu.Lock()
	defer b.tasksMu.Unlock()
	b.tasks = append(b.tasks, f)
	if len(b.tasks) == 1 {
		_, _ = b.near.Write([]byte{taskByte}) // fails after Stop only
	}
}

// pass waits until the poller has processed a byte that is sent now: it fetches that
// event after all events that it has fetched before.
func (b *barrier) pass() error {
	if _, err := b.near.Write([]byte{passByte}); err != nil {
		return fmt.Errorf("pollers: write to poller: %w", err)
	}
	select {
	case <-b.passed:
		return nil
	case <-time.After(pollerTimeout):
		return errSilent
	}
}

// waiter opens the socket pairs of barriers.
type waiter struct {
	engine       *nbhttp.Engine
	unused       []net.Conn // near end of each pair first
	placeholders []*os.File // kept open so that later descriptors differ
}

// close closes far ends before near ones. A far end that sees the near one close could
// be reported to a poller as hung up when its descriptor belongs to a new connection.
func (w *waiter) close() {
	for _, c := range slices.Backward(w.unused) {
		_ = c.Close()
	}
	for _, f := range w.placeholders {
		_ = f.Close()
	}
}

// reserveDescriptors opens files until the lowest free descriptor, which the
// next connection will get, is served by the poller with this index. Without it
// the descriptors of connections may never map to some poller, for instance if
// they are all even: an entry VM with 8 cores would not start.
func (w *waiter) reserveDescriptors(index int) error {
	for range w.engine.NPoller {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return fmt.Errorf("pollers: reserve file descriptor: %w", err)
		}
		if int(f.Fd())%w.engine.NPoller == index {
			return f.Close()
		}
		w.placeholders = append(w.placeholders, f)
	}
	return nil
}

// newBarrier returns the barrier of the poller with this index.
func (w *waiter) newBarrier(index int) (*barrier, error) {
	for range maxPairs {
		near, far, err := socketPair()
		if err != nil {
			return nil, err
		}
		if err := w.reserveDescriptors(index); err != nil {
			w.unused = append(w.unused, near, far)
			return nil, err
		}
		nbc, err := nbio.NBConn(far)
		if err != nil {
			w.unused = append(w.unused, near, far)
			return nil, fmt.Errorf("pollers: wrap socket: %w", err)
		}
		if nbc.Hash()%w.engine.NPoller != index {
			w.unused = append(w.unused, near, nbc) // another goroutine has taken the descriptor
			continue
		}
		b := &barrier{near: near, passed: make(chan struct{}, 1)}
		nbc.OnData(b.onData)
		if _, err := w.engine.AddConn(nbc); err != nil {
			w.unused = append(w.unused, near)
			return nil, fmt.Errorf("pollers: register socket: %w", err)
		}
		return b, nil
	}
	return nil, errUnreachable
}

// socketPair returns two connected sockets of this process.
func socketPair() (near, far net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("pollers: create socket pair: %w", err)
	}
	near, err1 := connFromFD(fds[0])
	far, err2 := connFromFD(fds[1])
	if err := errors.Join(err1, err2); err != nil {
		for _, c := range []net.Conn{near, far} {
			if c != nil {
				_ = c.Close()
			}
		}
		return nil, nil, err
	}
	return near, far, nil
}

func connFromFD(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "pair")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("pollers: wrap socket: %w", err)
	}
	return c, nil
}
