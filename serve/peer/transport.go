package peer

import (
	"context"
	"crypto/hmac"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Handler processes the messages of a frame from another entry VM. Calls for one
// connection are made in order, those for different connections concurrently. It
// must not block.
type Handler func(from fleet.VMID, env Envelope)

// FailureHandler is called when connecting to a VM has failed or the connection
// to it was lost. It may be called from any goroutine.
type FailureHandler func(to fleet.VMID)

// Transport exchanges messages between one entry VM and others. Its methods are
// safe for concurrent use.
type Transport struct {
	o          Options
	handle     Handler
	failed     FailureHandler
	engine     *nbio.Engine
	stop       chan struct{}
	goroutines sync.WaitGroup

	loopsStarted chan struct{} // closed once the engine's event loops run
	firstClose   sync.Once

	mu       sync.Mutex
	stats    Stats
	draining bool // Close has begun
	remotes  map[fleet.VMID]*remote
	conns    map[*conn]struct{}
	toClose  []*nbio.Conn // closed by the next maintain
	accepted int
	closing  bool
}

// remote is the state of another entry VM.
type remote struct {
	vm          fleet.VM
	current     *conn // the connection in use; nil while there is none
	dialling    bool
	failures    int
	nextDial    time.Time
	queue       []queued
	queuedBytes int
}

// queued holds the messages of one Send that wait for a connection or its window.
type queued struct {
	bodies []Body
	size   int
	at     time.Time
}

// New returns a transport that is not listening yet. failed may be nil.
func New(o Options, handle Handler, failed FailureHandler) (*Transport, error) {
	if len(o.Key) < MinKeyBytes {
		return nil, fmt.Errorf("%w: %d bytes, at least %d", ErrKey, len(o.Key), MinKeyBytes)
	}
	if o.ID == "" {
		return nil, ErrID
	}
	if failed == nil {
		failed = func(fleet.VMID) {}
	}
	return &Transport{
		o:            o.withDefaults(),
		handle:       handle,
		failed:       failed,
		stop:         make(chan struct{}),
		loopsStarted: make(chan struct{}),
		remotes:      make(map[fleet.VMID]*remote),
		conns:        make(map[*conn]struct{}),
	}, nil
}

// Listen starts the transport on a TCP address and returns the address with the
// actual port.
func (t *Transport) Listen(addr string) (string, error) {
	t.engine = nbio.NewEngine(nbio.Config{
		Name:    "peer " + string(t.o.ID),
		Network: "tcp",
		Addrs:   []string{addr},
		NPoller: 1,
		// Frames between entry VMs are small, and each poller has one buffer.
		ReadBufferSize: 16 << 10,
		// Limits the memory used by a peer that sends requests and does not read
		// the answers: beyond this, nbio closes its connection.
		MaxWriteBufferSize: 2 * t.o.WindowBytes,
	})
	t.engine.OnOpen(t.onOpen)
	t.engine.OnData(t.onData)
	t.engine.OnClose(t.onClose)
	if err := t.engine.Start(); err != nil {
		t.engine = nil // Close must not stop it: nbio panics on an engine that was not started
		return "", fmt.Errorf("peer: listen on %s: %w", addr, err)
	}
	t.goroutines.Add(1)
	go t.maintainLoop()
	addr = t.engine.Addrs[0]
	return addr, t.awaitLoops(addr)
}

// awaitLoops returns once the engine's event loops run. Without it, a Close right
// after Listen would never return and leave a goroutine spinning on a closed
// listener: each loop of nbio starts by clearing the flag that Stop sets, so an
// earlier Stop has no effect. A connection that was accepted and whose close was
// read proves that both loops have started.
func (t *Transport) awaitLoops(addr string) error {
	c, err := net.DialTimeout("tcp", addr, t.o.DialTimeout)
	if err != nil {
		return fmt.Errorf("peer: listen on %s: %w", addr, err)
	}
	if err := c.Close(); err != nil {
		return fmt.Errorf("peer: listen on %s: %w", addr, err)
	}
	<-t.loopsStarted
	return nil
}

func (t *Transport) now() time.Time { return time.Now() }

// Stats returns the current counters.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Connections = uint64(len(t.conns))
	for _, r := range t.remotes {
		for _, q := range r.queue {
			s.QueuedBodies += uint64(len(q.bodies))
		}
	}
	return s
}

// Send queues messages for one entry VM, to be sent in one frame. It never
// blocks. An error means that they were not queued; without one, delivery is
// still not guaranteed.
func (t *Transport) Send(to fleet.VM, bodies ...Body) error {
	size := 0
	for _, b := range bodies {
		size += len(b.Data) + bodyOverhead
	}
	if len(bodies) > MaxBodies || size > MaxFrame-FrameOverhead-dataOverhead {
		return fmt.Errorf("%w: %d messages, %d bytes", ErrTooLarge, len(bodies), size)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return ErrClosed
	}
	r, err := t.remoteFor(to)
	if err != nil {
		return err
	}
	t.enqueue(r, queued{bodies: bodies, size: size, at: t.now()})
	t.sendQueued(to.ID)
	t.dialIfNeeded(r)
	return nil
}

const (
	// bodyOverhead is the maximum number of bytes that encoding adds to a body.
	bodyOverhead = 1 + 2 + 5
	// dataOverhead is the maximum size of the rest of a data frame's payload.
	dataOverhead = 1 + 9 + 3
	// maxMergedBytes is the maximum size of a frame merged from several Sends.
	maxMergedBytes = 64 << 10
)

// remoteFor returns the state of a VM and creates it if necessary. If the VM has a
// higher incarnation than the connection in use, the process at the other end of
// that connection is gone, and the connection is closed.
func (t *Transport) remoteFor(to fleet.VM) (*remote, error) {
	r := t.remotes[to.ID]
	if r == nil {
		if to.PeerAddr == "" {
			return nil, fmt.Errorf("%w: %s", ErrNoAddress, to.ID)
		}
		r = &remote{vm: to}
		t.remotes[to.ID] = r
	}
	if to.PeerAddr == "" && r.current == nil && r.vm.PeerAddr == "" {
		return nil, fmt.Errorf("%w: %s", ErrNoAddress, to.ID)
	}
	if to.PeerAddr != "" && to.Incarnation >= r.vm.Incarnation {
		if to.PeerAddr != r.vm.PeerAddr {
			r.nextDial, r.failures = time.Time{}, 0
		}
		r.vm = to
	}
	if r.current != nil && r.current.incarnation < to.Incarnation {
		t.closeConn(r.current)
	}
	return r, nil
}

// admit registers a new connection. It reports false if there are too many or the
// transport is closing.
func (t *Transport) admit(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	if !c.dialled && t.accepted >= t.o.MaxConnections {
		t.stats.RefusedConnections++
		return false
	}
	if !c.dialled {
		t.accepted++
	}
	t.conns[c] = struct{}{}
	return true
}

// onOpen is called by nbio for each new connection. Dialled connections already
// have a session.
func (t *Transport) onOpen(nb *nbio.Conn) {
	if nb.Session() != nil {
		return
	}
	c := newConn(t, nb, t.now())
	nb.SetSession(c)
	if !t.admit(c) {
		t.closeLater(nb)
	}
}

// closeLater has the next maintain close a connection that nbio is about to
// register. Closing it here would make nbio report an error.
func (t *Transport) closeLater(nb *nbio.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toClose = append(t.toClose, nb)
}

func (t *Transport) onData(nb *nbio.Conn, b []byte) {
	c, ok := t.registered(nb)
	if !ok {
		return
	}
	envs, err := c.receive(b)
	for _, env := range envs {
		t.handle(env.From, env)
	}
	if err == nil {
		return
	}
	t.mu.Lock()
	t.stats.countRefusal(err)
	t.mu.Unlock()
	_ = nb.CloseWithError(err)
}

// registered returns the state of an admitted connection. The lock ensures that
// it sees the result of admit, which ran in the accepting goroutine.
func (t *Transport) registered(nb *nbio.Conn) (*conn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := nb.Session().(*conn)
	if !ok {
		return nil, false
	}
	_, ok = t.conns[c]
	return c, ok
}

// onClose is called by nbio once for each connection, in a separate goroutine.
func (t *Transport) onClose(nb *nbio.Conn, _ error) {
	t.firstClose.Do(func() { close(t.loopsStarted) })
	c, ok := nb.Session().(*conn)
	if !ok {
		return
	}
	if t.removeConn(c) {
		t.failed(c.peer)
	}
}

// removeConn removes a closed connection. It reports true if this was the
// connection in use to a VM or one being dialled to it.
func (t *Transport) removeConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.closed = true
	if _, ok := t.conns[c]; !ok {
		return false
	}
	delete(t.conns, c)
	if !c.dialled {
		t.accepted--
	}
	r := t.remotes[c.peer]
	if r == nil || t.closing {
		return false
	}
	if c.dialled && !c.established {
		t.backOff(r)
		return true
	}
	if r.current != c {
		return false
	}
	r.current = nil
	t.stats.Lost++
	t.countUnconfirmed(c)
	t.dialIfNeeded(r)
	return true
}

func (t *Transport) countUnconfirmed(c *conn) {
	for _, s := range c.unacked {
		t.stats.Unconfirmed += uint64(s.bodies)
	}
}

// useConn makes a connection that has completed the handshake the one in use. The
// previous one is closed if it lacks acknowledgements. Otherwise it stays open
// until it is idle: both sides may have dialled at the same time, and neither may
// close the connection that the other uses.
func (t *Transport) useConn(c *conn) {
	r := t.remotes[c.peer]
	if r == nil {
		r = &remote{vm: fleet.VM{ID: c.peer, Incarnation: c.incarnation}}
		t.remotes[c.peer] = r
	}
	if c.dialled {
		r.dialling = false
	}
	r.failures = 0
	r.nextDial = time.Time{}
	old := r.current
	if old != nil && old.incarnation > c.incarnation {
		return
	}
	r.current = c
	if old != nil && old.unackedFor(t.now()) > t.o.ReplaceAfter {
		t.stats.Replaced++
		t.countUnconfirmed(old)
		t.closeConn(old)
	}
	t.sendQueued(c.peer)
}

// closeConn closes a connection on this side's initiative.
func (t *Transport) closeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(t.conns, c)
	if !c.dialled {
		t.accepted--
	}
	if r := t.remotes[c.peer]; r != nil && r.current == c {
		r.current = nil
	}
	_ = c.nb.Close()
}

// Close refuses further Sends, waits until everything sent is acknowledged or ctx
// ends, and closes all connections. It returns an error if ctx ended first.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	again := t.draining
	t.draining = true
	t.mu.Unlock()
	if again {
		return ErrClosed
	}
	if t.engine == nil {
		return nil
	}
	err := t.flush(ctx)
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	close(t.stop)
	t.goroutines.Wait()
	t.engine.Stop()
	return err
}

func (t *Transport) flush(ctx context.Context) error {
	tick := time.NewTicker(maintainInterval / 4)
	defer tick.Stop()
	for {
		if t.flushed() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("peer: close: %w", ctx.Err())
		case <-tick.C:
		}
	}
}

func (t *Transport) flushed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.remotes {
		if len(r.queue) > 0 {
			return false
		}
	}
	for c := range t.conns {
		if len(c.unacked) > 0 || !c.ackDue.IsZero() {
			return false
		}
	}
	return true
}

func macEqual(a, b []byte) bool { return hmac.Equal(a, b) }
