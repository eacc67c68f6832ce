package inbound

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/serve/pollers"
)

// Handler serves exchanges. Serve is called on a poller's goroutine and must
// not block; any goroutine may send the answer later.
type Handler interface {
	Serve(x *Exchange)
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeadBytes   int           // request line and header fields
	BodyBytes   int           // request body
	ReadTimeout time.Duration // from the first byte of a request to its last
	// BodyTimeout bounds the receipt of the body, and ReadTimeout then only
	// that of the head; 0: ReadTimeout bounds both together.
	BodyTimeout time.Duration
	IdleTimeout time.Duration // between requests on one connection
}

// Options configures a Server. MaxBodyBytes, MaxBufferedBodies, Account, MaxPipelined, Pollers,
// MayBeRepeat, Overlaps, RefuseAtClose and Closed are optional.
type Options struct {
	Limits
	// MaxBodyBytes is the largest body limit that SetLimits may set; 0:
	// Limits.BodyBytes.
	MaxBodyBytes int
	// MaxBufferedBodies bounds the total size of the bodies of all requests in memory;
	// 0: unlimited. A request that exceeds it is refused with 503.
	MaxBufferedBodies int64
	// Account bounds the connections and heads of this server's clients, with those of the
	// other servers that have the same; nil: unlimited. A request that exceeds it is refused
	// with 503.
	Account *Account
	// MaxPipelined bounds the requests of a connection that wait behind those in flight, and
	// the answers that its caller has not taken; 0: 16. What comes behind them is not read.
	MaxPipelined int
	WriteTimeout time.Duration // for a caller to take an answer
	Pollers      int           // 0: nbio's default
	// Refusal returns the header and body of the answers that this package
	// sends itself: 400, 408, 413, 431 or 503.
	Refusal func(status int) (http.Header, []byte)
	// MayBeRepeat reports whether a request with these header fields may be a repeat
	// of an earlier one. If so, its refusal is left to the handler, which knows
	// the outcome of the earlier send. Of a head that was not parsed, h has only
	// RepeatFields. May be nil.
	MayBeRepeat  func(h http.Header) bool
	RepeatFields []string // in canonical form
	// Overlaps reports whether a request may be served concurrently with others
	// that its caller has pipelined on the same connection. Nil: each request
	// waits for the answer to the one before.
	Overlaps func(r *Request) bool
	// RefuseAtClose makes the server send a refusal with 503 on an idle connection
	// before it closes it. A request that crosses the close takes it for its answer,
	// and has not run. Callers must ignore an answer that they have not asked for.
	RefuseAtClose bool
	// Closed is called once for each closed connection. It must not block; may be
	// nil.
	Closed func(ConnectionEnd)
}

// Server accepts callers' connections and reads their requests.
type Server struct {
	opts          Options
	currentLimits atomic.Pointer[Limits]
	bodyBytes     atomic.Int64 // bytes of request bodies, as announced or received
	handler       Handler
	engine        *pollers.Engine
	listener      net.Listener
	stopping      atomic.Bool // each answer that leaves its connection idle announces the close
	closingIdle   atomic.Bool // a connection closes as soon as it is idle
	acceptLoop    sync.WaitGroup
	closing       sync.Once     // the listener
	allAdded      chan struct{} // closed when no connection is added any more

	stopEngine sync.Once // nbio panics if it is stopped twice

	mu       sync.Mutex
	conns    map[*conn]struct{}
	inFlight int
	idle     chan struct{} // closed when stopping and inFlight is zero
}

// Listen opens addr, a host:port. Connections wait until Serve is called: an
// answer sent before the handler is ready could be wrong, as only the handler
// knows the outcome of an earlier send.
func Listen(addr string, opts Options) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("inbound: %w", err)
	}
	s := &Server{
		opts:     opts,
		listener: ln,
		conns:    make(map[*conn]struct{}),
		idle:     make(chan struct{}),
		allAdded: make(chan struct{}),
	}
	s.currentLimits.Store(&opts.Limits)
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:      "inbound",
		NPoller:   opts.Pollers,
		ReadLimit: max(opts.MaxBodyBytes, opts.BodyBytes) + opts.HeadBytes + nbio.DefaultReadBufferSize,
	})
	engine.OnClose(s.onClose)
	engine.OnWrittenSize(onWritten)
	if s.engine, err = pollers.Start(engine); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("inbound: %w", err)
	}
	return s, nil
}

// Serve starts to accept connections and passes their requests to h. It must be
// called at most once.
func (s *Server) Serve(h Handler) {
	s.handler = h
	s.acceptLoop.Add(1)
	go s.accept()
}

// SetLimits changes the limits for messages that start from now on.
func (s *Server) SetLimits(l Limits) { s.currentLimits.Store(&l) }

func (s *Server) limits() *Limits { return s.currentLimits.Load() }

// reserveBody counts n more bytes of a body, and returns false if they exceed
// MaxBufferedBodies. Each body is kept in memory as a whole; a few large ones at
// once could exhaust it and end the process.
func (s *Server) reserveBody(n int64) bool {
	if s.bodyBytes.Add(n) <= s.opts.MaxBufferedBodies || s.opts.MaxBufferedBodies == 0 {
		return true
	}
	s.bodyBytes.Add(-n)
	return false
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptBackoff is the pause after a failed accept, such as one that found no
// free file descriptor. Without it the loop would spin on the same error.
const acceptBackoff = 20 * time.Millisecond

func (s *Server) accept() {
	defer s.acceptLoop.Done()
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		if err := s.add(nc); err != nil {
			_ = nc.Close()
		}
	}
}

// add registers an accepted connection with a poller.
func (s *Server) add(nc net.Conn) error {
	remote := remoteAddr(nc)
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		return fmt.Errorf("inbound: register connection: %w", err)
	}
	c := &conn{s: s, nbc: nbc, remote: remote}
	c.parser = nbhttp.NewParser(nbc, s.engine.Engine, c, false, runInline)
	nbc.SetSession(c.parser)
	nbc.OnData(c.onData)
	c.initialized.Store(true)
	c.changedAt = time.Now()
	if !s.opts.Account.admit(c) {
		return errNoRoom
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if err := s.engine.Add(nbc); err != nil {
		s.removeConn(c)
		return fmt.Errorf("inbound: register connection: %w", err)
	}
	c.awaitFirstRequest()
	return nil
}

// errNoRoom means that a connection was not registered as there are too many others.
var errNoRoom = errors.New("inbound: too many connections")

// runInline runs the parser's completion callback on the poller's goroutine:
// handlers do not block, so a goroutine pool would only add a wake-up.
func runInline(f func()) bool {
	f()
	return true
}

func remoteAddr(nc net.Conn) netip.AddrPort {
	ap, err := netip.ParseAddrPort(nc.RemoteAddr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

func (s *Server) onClose(nc net.Conn, err error) {
	nbc, ok := nc.(*nbio.Conn)
	if !ok {
		return
	}
	if c := connOf(nbc); c != nil {
		s.removeConn(c)
		c.onClose(err)
	}
}

func onWritten(nbc *nbio.Conn, _ []byte, n int) {
	if c := connOf(nbc); c != nil {
		c.onWritten(n)
	}
}

// connOf returns the conn of an nbio connection, or nil if it is not completely
// set up.
func connOf(nbc *nbio.Conn) *conn {
	p, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	c, _ := p.Processor.(*conn)
	return c
}

func (s *Server) removeConn(c *conn) {
	s.opts.Account.remove(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// exchangeStarted counts an exchange as in flight.
func (s *Server) exchangeStarted() {
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
}

func (s *Server) exchangeEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.signalIdle()
}

// signalIdle must be called with mu held.
func (s *Server) signalIdle() {
	if !s.stopping.Load() || s.inFlight > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// AnnounceClose makes every further answer tell its caller to close the connection,
// unless further requests on it have been received. Requests are still served.
func (s *Server) AnnounceClose() { s.stopping.Store(true) }

// Stop waits until no request is in flight or ctx ends, and then closes
// everything. By then the handler must refuse new requests; their connections
// are closed after the refusal.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping.Store(true)
	s.signalIdle()
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
	var err error
	select { // both may be ready
	case <-s.idle:
		s.StopAccepting(ctx) // otherwise callers could delay the stop without end
		err = s.flush(ctx)
	default:
		err = fmt.Errorf("inbound: requests still in flight: %w", ctx.Err())
	}
	s.closeListener(context.Background()) // a connection must not be added while the engine stops
	s.stopEngine.Do(s.engine.Stop)
	return err
}

// Close stops the server at once and aborts requests in flight. After Stop it
// only closes what is left.
func (s *Server) Close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Stop(ended) // the error only says what was aborted
}

// StopAccepting closes the listener and all idle connections. Otherwise callers
// that keep opening or reusing connections would keep a leaving VM busy until it
// ends, which interrupts their requests. A connection in use closes as soon as it is
// idle. The end of ctx ends the wait for connections that are being added.
func (s *Server) StopAccepting(ctx context.Context) {
	s.closeListener(ctx)
	s.closingIdle.Store(true)
	for _, c := range s.openConns() {
		c.closeInStop()
	}
}

// openConns returns all open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// closeListener closes the listener, and adds the connections that the kernel has accepted:
// it would reset them, and their callers could not tell whether their requests have run. It
// waits until all have been added, at most until ctx ends.
func (s *Server) closeListener(ctx context.Context) {
	s.closing.Do(func() {
		waiting := s.takeWaiting()
		_ = s.listener.Close()
		go func() {
			for _, socket := range waiting {
				s.addSocket(ctx, socket)
			}
			s.acceptLoop.Wait()
			close(s.allAdded)
		}()
	})
	select {
	case <-s.allAdded:
	case <-ctx.Done():
	}
}

// maxWaiting bounds the connections that takeWaiting accepts, so that callers that keep
// opening connections do not delay a stop. It is the usual bound of the kernel.
const maxWaiting = 4096

// takeWaiting returns the sockets of connections that the kernel has accepted.
func (s *Server) takeWaiting() (sockets []int) {
	listener, ok := s.listener.(*net.TCPListener)
	if !ok || s.handler == nil {
		return nil // nothing is accepted yet
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { // an error means that the listener is closed
		for len(sockets) < maxWaiting {
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil && !errors.Is(err, unix.ECONNABORTED) && !errors.Is(err, unix.EINTR) {
				return // EAGAIN: there are no more
			}
			if err == nil {
				sockets = append(sockets, socket)
			}
		}
	})
	return sockets
}

// addSocket adds the connection of a socket, unless ctx has ended.
func (s *Server) addSocket(ctx context.Context, socket int) {
	f := os.NewFile(uintptr(socket), "accepted")
	nc, err := net.FileConn(f)
	_ = f.Close() // nc has a duplicate
	if err == nil && ctx.Err() == nil && s.add(nc) == nil {
		return
	}
	if nc != nil {
		_ = nc.Close()
	}
}

// flushPollInterval is the interval between checks for unsent answers.
const flushPollInterval = 50 * time.Millisecond

// flush waits until callers have received the answers already given, and until
// requests that are partly received have been completed and answered. An
// exchange counts as answered once nbio has its bytes; stopping the engine then
// would truncate a large answer to a slow reader. A caller that is still
// sending would not learn that its request has not run.
func (s *Server) flush(ctx context.Context) error {
	t := time.NewTicker(flushPollInterval)
	defer t.Stop()
	for {
		if err := s.engine.Sync(ctx); err != nil { // for connections that are about to close
			return s.unfinished(ctx)
		}
		if !slices.ContainsFunc(s.openConns(), (*conn).isBusy) {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return s.unfinished(ctx)
		}
	}
}

// unfinished returns an error if requests or answers are still in progress when ctx has
// ended. A connection that only its caller has not closed yet is none.
func (s *Server) unfinished(ctx context.Context) error {
	if slices.ContainsFunc(s.openConns(), (*conn).isUnfinished) {
		return fmt.Errorf("inbound: requests or answers still in progress: %w", ctx.Err())
	}
	return nil
}
