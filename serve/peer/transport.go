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

// Handler takes what another entry VM sent. Calls for one connection come in
// order; those for several may come at once, so it has to be safe for
// concurrent use, and it must not block.
type Handler func(from fleet.VMID, env Envelope)

// FailureHandler is told that no connection to a VM could be had or that it was
// given up. It may come from any goroutine.
type FailureHandler func(to fleet.VMID)

// Transport connects one entry VM with others. Its methods are safe for
// concurrent use.
type Transport struct {
	o          Options
	handle     Handler
	failed     FailureHandler
	engine     *nbio.Engine
	stop       chan struct{}
	goroutines sync.WaitGroup

	loopsStarted chan struct{} // closed once the engine's loops run
	firstClose   sync.Once

	mu       sync.Mutex
	stats    Stats
	draining bool // Close has begun
	remotes  map[fleet.VMID]*remote
	conns    map[*conn]struct{}
	toClose  []*nbio.Conn // to be closed
	accepted int
	closing  bool
}

// remote is another entry VM.
type remote struct {
	vm          fleet.VM
	current     *conn // the connection in use; nil while there is none
	dialling    bool
	failures    int
	nextDial    time.Time
	queue       []queued
	queuedBytes int
}

// queued is a Send that waits for a connection or for its window.
type queued struct {
	bodies []Body
	size   int
	at     time.Time
}

// New returns a transport that doesn't listen yet. failed may be nil.
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

// Listen starts the transport on a TCP address and returns the address with
// the port in use.
func (t *Transport) Listen(addr string) (string, error) {
	t.engine = nbio.NewEngine(nbio.Config{
		Name:    "peer " + string(t.o.ID),
		Network: "tcp",
		Addrs:   []string{addr},
		NPoller: 1,
		// Frames between entry VMs are small; the buffer is one a poller.
		ReadBufferSize: 16 << 10,
		// A peer that asks without reading the answers must not fill our
		// memory: beyond this nbio closes its connection.
		MaxWriteBufferSize: 2 * t.o.WindowBytes,
	})
	t.engine.OnOpen(t.onOpen)
	t.engine.OnData(t.onData)
	t.engine.OnClose(t.onClose)
	if err := t.engine.Start(); err != nil {
		t.engine = nil // Close must not stop it: nbio panics on one that has no loops
		return "", fmt.Errorf("peer: listen on %s: %w", addr, err)
	}
	t.goroutines.Add(1)
	go t.maintainLoop()
	addr = t.engine.Addrs[0]
	return addr, t.awaitLoops(addr)
}

// awaitLoops returns once the engine's loops run. Symptom without it: Close
// right after Listen never returns, and a goroutine spins on a closed
// listener. Cause: each loop of nbio begins by clearing the flag that Stop
// sets, so a Stop before that is forgotten. A connection that was accepted
// and whose end was read proves that both loops have begun.
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

// Stats returns the present counters.
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

// Send hands messages for one entry VM over, to go in one frame. It never
// blocks; an error says that they were not even queued. Delivery is not
// assured.
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
	// bodyOverhead is the most that a body's encoding adds to its data.
	bodyOverhead = 1 + 2 + 5
	// dataOverhead is the most that the rest of a data frame's payload takes.
	dataOverhead = 1 + 9 + 3
	// maxMergedBytes bounds a frame made of several queued Sends.
	maxMergedBytes = 64 << 10
)

// remoteFor finds or makes the entry for a VM. A higher incarnation than that of
// the connection in use means that its process is gone.
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

// admit registers a new connection unless there are too many.
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

// onOpen is called by nbio for each connection; those dialled have a session
// already.
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

// closeLater closes a connection that nbio is about to register, and would
// report as an error if it were closed here.
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

// registered returns the state of a connection that was admitted. The lock
// orders this after admit, which ran in the goroutine that accepted.
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

// onClose is called by nbio once for each connection, in a goroutine of its
// own.
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

// removeConn removes a closed connection. It reports true if that leaves a VM
// without one that it had or was to get.
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

// useConn makes a connection that has completed the handshake the one in
// use. A silent one is closed; any other one closes once idle, since both
// sides may have dialled at once and must not each close what the other uses.
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

// closeConn closes a connection for a reason of our own.
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

// Close refuses further Sends, waits until what was sent is acknowledged or
// ctx ends, and closes all connections. The error says that ctx ended first.
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
