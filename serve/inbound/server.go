package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/serve/pollers"
)

// Handler serves exchanges. Serve is called on a poller's goroutine and must
// not block; the answer may come later from any goroutine.
type Handler interface {
	Serve(x *Exchange)
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeadBytes   int           // request line and header fields
	BodyBytes   int           // request body
	ReadTimeout time.Duration // from the first byte of a request to its last
	// BodyTimeout bounds the body alone, and ReadTimeout the head alone; 0:
	// ReadTimeout bounds both together.
	BodyTimeout time.Duration
	IdleTimeout time.Duration // between requests on one connection
}

// Options of a Server. All but Pollers and Known are required.
type Options struct {
	Limits
	// MaxBodyBytes is the largest body that SetLimits may ever allow; 0:
	// Limits.BodyBytes.
	MaxBodyBytes int
	// HeldBytes bounds the bodies of all requests that are held at a time; 0:
	// no bound. A request beyond it is refused with 503.
	HeldBytes    int64
	WriteTimeout time.Duration // for a caller to take an answer
	Pollers      int           // 0: nbio's default
	// Refusal gives the header and body of an answer that this package sends
	// itself: 400, 408, 413 or 431.
	Refusal func(status int) (http.Header, []byte)
	// Known reports whether a request with these header fields may have been
	// sent before. A refusal of such a one is left to the handler, as only the
	// handler can tell what became of the earlier send. May be nil.
	Known func(h http.Header) bool
	// Overlaps reports whether a request may be served beside others that its
	// caller has sent ahead on the same connection. Nil: none may; each then
	// waits for the answer to the one before.
	Overlaps func(r *Request) bool
}

// Server accepts callers' connections.
type Server struct {
	opts          Options
	currentLimits atomic.Pointer[Limits]
	bodyBytes     atomic.Int64 // bytes of bodies, as announced or received
	handler       Handler
	engine        *nbhttp.Engine
	listener      net.Listener
	stopping      atomic.Bool
	acceptLoop    sync.WaitGroup

	stopEngine sync.Once // nbio panics when it is stopped twice

	mu       sync.Mutex
	conns    map[*conn]struct{}
	inFlight int
	idle     chan struct{} // closed when stopping and inFlight is zero
}

// Listen opens addr, a host:port. Connections wait until Serve is called: what
// a caller is told before the handler is ready could be wrong, as only the
// handler knows what became of an earlier send.
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
	}
	s.currentLimits.Store(&opts.Limits)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:      "inbound",
		NPoller:   opts.Pollers,
		ReadLimit: max(opts.MaxBodyBytes, opts.BodyBytes) + opts.HeadBytes + nbio.DefaultReadBufferSize,
	})
	s.engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(onWritten)
	if err := s.engine.Start(); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("inbound: %w", err)
	}
	if err := pollers.Await(s.engine); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("inbound: %w", err)
	}
	return s, nil
}

// Serve begins to accept connections and hands their requests to h. It must be
// called once at most.
func (s *Server) Serve(h Handler) {
	s.handler = h
	s.acceptLoop.Add(1)
	go s.accept()
}

// SetLimits changes the limits for messages that begin from now on.
func (s *Server) SetLimits(l Limits) { s.currentLimits.Store(&l) }

func (s *Server) limits() *Limits { return s.currentLimits.Load() }

// reserveBody counts n more bytes of a body, and reports false if they are too many.
// Each body is held whole; a few large ones at once would end the process.
func (s *Server) reserveBody(n int64) bool {
	if s.bodyBytes.Add(n) <= s.opts.HeldBytes || s.opts.HeldBytes == 0 {
		return true
	}
	s.bodyBytes.Add(-n)
	return false
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptBackoff is the pause after a failed accept, such as one for want of
// file descriptors: without it the loop would spin on the same error.
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

// add hands an accepted connection to the poller.
func (s *Server) add(nc net.Conn) error {
	remote := remoteAddr(nc)
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		return fmt.Errorf("inbound: %w", err)
	}
	c := &conn{s: s, nbc: nbc, remote: remote}
	c.parser = nbhttp.NewParser(nbc, s.engine, c, false, runInline)
	nbc.SetSession(c.parser)
	nbc.OnData(c.onData)
	c.initialized.Store(true)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if _, err := s.engine.AddConn(nbc); err != nil {
		s.removeConn(c)
		return fmt.Errorf("inbound: %w", err)
	}
	c.armIdleTimeout()
	return nil
}

// runInline runs the parser's completion on the poller's goroutine: handlers
// do not block, so a hand-over to a goroutine pool would only add its wake-up.
func runInline(f func()) bool {
	f()
	return true
}

func remoteAddr(nc net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(nc.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func (s *Server) onClose(nc net.Conn, _ error) {
	nbc, ok := nc.(*nbio.Conn)
	if !ok {
		return
	}
	if c := connOf(nbc); c != nil {
		s.removeConn(c)
		c.onClose()
	}
}

func onWritten(nbc *nbio.Conn, _ []byte, n int) {
	if c := connOf(nbc); c != nil {
		c.onWritten(n)
	}
}

// connOf finds this package's part of a connection; nil for one that has not
// been set up completely.
func connOf(nbc *nbio.Conn) *conn {
	p, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	c, _ := p.Processor.(*conn)
	return c
}

func (s *Server) removeConn(c *conn) {
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

// exchangeStarted counts an exchange in.
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

// Leave tells callers, with every answer from now on, not to use their
// connection again. Requests are still served.
func (s *Server) Leave() { s.stopping.Store(true) }

// Stop waits until no request is in flight or ctx ends, and then closes
// everything. The handler must refuse new requests by then; their connections
// are closed after the refusal.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping.Store(true)
	s.signalIdle()
	s.mu.Unlock()
	var err error
	select {
	case <-s.idle:
		s.stopAccepting() // or new callers could keep it busy for ever
		err = s.flush(ctx)
	case <-ctx.Done():
		err = fmt.Errorf("inbound: requests still in flight: %w", ctx.Err())
	}
	s.stopAccepting()
	s.stopEngine.Do(s.engine.Stop)
	return err
}

// Close ends the server at once and cuts what is in flight. After Stop it only
// closes what is left.
func (s *Server) Close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Stop(ended) // its error says what was cut
}

// Refuse closes the listener and the connections on which nothing is under way.
// Callers that go on opening or reusing connections would otherwise keep a
// leaving VM busy until its end cuts them off.
func (s *Server) Refuse() {
	s.stopAccepting()
	s.mu.Lock()
	var free []*conn
	for c := range s.conns {
		if c.isIdle() {
			free = append(free, c)
		}
	}
	s.mu.Unlock()
	for _, c := range free {
		c.nbc.Close()
	}
}

func (s *Server) stopAccepting() {
	_ = s.listener.Close()
	s.acceptLoop.Wait()
}

// flushPollInterval is the interval between two looks at what is still to be sent.
const flushPollInterval = 50 * time.Millisecond

// flush waits until callers have taken the answers already given, and have
// sent and had answered the requests that they have begun. An exchange counts
// as answered once its bytes are with nbio; a caller that reads a large answer
// slowly would have it cut if the engine stopped then. A caller that is still
// sending would not learn that its request has not run.
func (s *Server) flush(ctx context.Context) error {
	t := time.NewTicker(flushPollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("inbound: requests or answers still under way: %w", ctx.Err())
		}
		if !s.busy() {
			return nil
		}
	}
}

// busy reports whether a request is being received or is in flight, or a
// connection has bytes that the kernel has not taken.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending() || c.inMessage() {
			return true
		}
	}
	return s.inFlight > 0
}
