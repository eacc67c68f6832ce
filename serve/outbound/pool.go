package outbound

import (
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/serve/pollers"
)

// Options configures a Pool. Budget, Pollers and Closed are optional.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // an idle connection is closed after it
	// AckTimeout is how long sent bytes may stay unacknowledged by the receiver's kernel
	// before the connection is closed; 0: the kernel's own limit.
	AckTimeout     time.Duration
	MaxAnswerBytes int     // limit on the body of one answer
	Budget         *Budget // for the bytes held for all answers; nil: unlimited
	Pollers        int     // 0: nbio's default
	Now            func() clock.Time
	// Dial opens a TCP connection; net.DialTimeout except in tests.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)
	// Closed is called once for each closed connection. inUse is set if a request
	// had claimed it and had no answer or verdict yet. It must not block; may be nil.
	Closed func(why CloseReason, inUse bool)
	// Unsolicited is called when a receiver sends bytes that belong to no request. It must
	// not block; may be nil.
	Unsolicited func(Unsolicited)
}

// Pool manages the connections of one entry VM to all receivers.
type Pool struct {
	opts   Options
	engine *pollers.Engine

	mu    sync.Mutex
	peers map[string]*peer
	stop  chan struct{}

	adding sync.RWMutex // read-locked while a connection is added
	closed bool         // guarded by adding
}

var errClosed = errors.New("outbound: pool is closed")

// NewPool starts an empty pool.
func NewPool(opts Options) (*Pool, error) {
	p := &Pool{opts: opts, peers: make(map[string]*peer), stop: make(chan struct{})}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:      "outbound",
		NPoller:   opts.Pollers,
		ReadLimit: maxAnswerHeads + nbio.DefaultReadBufferSize, // the parser gets heads only
		// nbio closes a connection when it learns that the receiver has closed it, although
		// data is left if it had to stop reading after so many times.
		MaxConnReadTimesPerEventLoop: math.MaxInt,
	})
	engine.OnClose(onClose)
	engine.OnWrittenSize(onWritten)
	var err error
	if p.engine, err = pollers.Start(engine); err != nil {
		return nil, fmt.Errorf("outbound: %w", err)
	}
	go p.sweep()
	return p, nil
}

// Close closes every connection. A dial that succeeds later is dropped: while
// it stops, nbio waits for its connections to close; one added meanwhile would
// never be closed, and Close would never return.
func (p *Pool) Close() {
	p.adding.Lock()
	p.closed = true
	p.adding.Unlock()
	close(p.stop)
	p.engine.Stop()
}

// Do sends r to addr, a host:port. done is called exactly once, possibly before
// Do returns. Do does not block.
func (p *Pool) Do(addr string, r *Request, done Done) *Call {
	k := &Call{req: r, done: done}
	pe, c := p.claim(addr, k)
	if c != nil {
		c.start(k)
		if r.KeepSpare && pe.reserveSpareDial() {
			go pe.dialSpare()
		}
		return k
	}
	go pe.dial(k)
	return k
}

// CloseIdle closes the connections to addr that have been idle for at least age.
// A firewall or router on the path may drop the state of open connections
// without a reset. When one connection has become silent, those unused since
// then are suspect too, while a new one costs about a millisecond.
func (p *Pool) CloseIdle(addr string, age time.Duration) {
	if pe := p.find(addr); pe != nil {
		pe.closeIdle(age)
	}
}

// Connections returns the number of open connections to addr.
func (p *Pool) Connections(addr string) int {
	pe := p.find(addr)
	if pe == nil {
		return 0
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.open
}

// find returns the peer at addr, or nil if nothing was sent there recently.
func (p *Pool) find(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[addr]
}

// claim returns the peer at addr and an idle connection to it. If there is none
// it returns a nil connection and counts a dial, so that the peer is not
// forgotten.
func (p *Pool) claim(addr string, k *Call) (*peer, *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe, ok := p.peers[addr]
	if !ok {
		pe = &peer{pool: p, addr: addr}
		p.peers[addr] = pe
	}
	return pe, pe.claimOrQueue(k)
}

// sweepInterval is the interval between checks for connections idle too long.
const sweepInterval = time.Second

func (p *Pool) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
		}
		for _, pe := range p.inUse() {
			pe.closeIdle(p.opts.IdleTimeout)
		}
	}
}

// inUse returns the peers with connections and removes the others: targets and
// entry VMs are replaced all the time, mostly at other addresses.
func (p *Pool) inUse() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := make([]*peer, 0, len(p.peers))
	for addr, pe := range p.peers {
		if pe.unused() {
			delete(p.peers, addr)
			continue
		}
		peers = append(peers, pe)
	}
	return peers
}

// runInline runs the parser's completion callback on the poller's goroutine.
func runInline(f func()) bool {
	f()
	return true
}

func onClose(nc net.Conn, err error) {
	nbc, ok := nc.(*nbio.Conn)
	if !ok {
		return
	}
	if c := connOf(nbc); c != nil {
		c.onClose(err)
	}
}

func onWritten(nbc *nbio.Conn, _ []byte, n int) {
	if c := connOf(nbc); c != nil {
		c.onWritten(n)
	}
}

// connOf returns the conn of an nbio connection, nil if it is not completely set up.
func connOf(nbc *nbio.Conn) *conn {
	p, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	c, ok := p.Processor.(*conn)
	if !ok || !c.initialized.Load() {
		return nil
	}
	return c
}
