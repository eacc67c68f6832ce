// Package pollers makes sure that a started nbio engine can be stopped.
//
// Each nbio poller clears its stop flag when its goroutine starts. An engine
// stopped before then loses the stop: Stop never returns, and the poller spins
// on its wake-up event. An entry VM whose second address is in use would hang
// in its clean-up instead of reporting the error. Await verifies that every
// poller is past that point by having each of them read one byte.
package pollers

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// startTimeout bounds the wait for all pollers.
const startTimeout = 10 * time.Second

// maxPairs bounds the socket pairs opened to reach one poller. nbio selects the
// poller by file descriptor, and the kernel assigns the lowest free one.
const maxPairs = 64

var (
	errNotStarted  = errors.New("pollers: not all nbio pollers started in time")
	errUnreachable = errors.New("pollers: no file descriptor is served by the wanted nbio poller")
)

// Await waits until all pollers of a started engine are running.
func Await(e *nbhttp.Engine) error {
	w := waiter{engine: e, replied: make(chan struct{}, e.NPoller)}
	defer w.close()
	for i := range e.NPoller {
		if err := w.pingPoller(i); err != nil {
			return err
		}
	}
	timeout := time.After(startTimeout)
	for range e.NPoller {
		select {
		case <-w.replied:
		case <-timeout:
			return errNotStarted
		}
	}
	return nil
}

type waiter struct {
	engine       *nbhttp.Engine
	replied      chan struct{}
	conns        []net.Conn // near end of each pair first
	placeholders []*os.File // kept open so that later descriptors differ
}

// close closes the far ends, which the pollers serve, before the near ones.
// Otherwise a far end that sees the near one close could be reported to its
// poller as hung up when its descriptor already belongs to a new connection,
// and nbio would close that one.
func (w *waiter) close() {
	for _, c := range slices.Backward(w.conns) {
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

// pingPoller gives the poller with this index a byte to read.
func (w *waiter) pingPoller(index int) error {
	for range maxPairs {
		near, far, err := socketPair()
		if err != nil {
			return err
		}
		w.conns = append(w.conns, near)
		if err := w.reserveDescriptors(index); err != nil {
			_ = far.Close()
			return err
		}
		nbc, err := nbio.NBConn(far)
		if err != nil {
			_ = far.Close()
			return fmt.Errorf("pollers: wrap socket: %w", err)
		}
		w.conns = append(w.conns, nbc)
		if nbc.Hash()%w.engine.NPoller != index {
			continue // another goroutine has taken the descriptor
		}
		nbc.OnData(func(*nbio.Conn, []byte) { w.replied <- struct{}{} })
		if _, err := w.engine.AddConn(nbc); err != nil {
			return fmt.Errorf("pollers: register socket: %w", err)
		}
		if _, err := near.Write([]byte{0}); err != nil {
			return fmt.Errorf("pollers: write to poller: %w", err)
		}
		return nil
	}
	return errUnreachable
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
