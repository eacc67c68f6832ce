package outbound

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Options of a Pool. All but Pollers are required.
type Options struct {
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // a free connection is closed after it
	MaxAnswerBytes int           // body of one answer
	Pollers        int           // 0: nbio's default
	Now            func() clock.Time
	// Dial opens a TCP connection; net.DialTimeout outside of tests.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)
}

// Pool keeps connections to all receivers of one entry VM.
type Pool struct {
	opts   Options
	engine *nbhttp.Engine

	mu    sync.Mutex
	peers map[string]*peer
	stop  chan struct{}
}

// NewPool starts an empty pool.
func NewPool(opts Options) (*Pool, error) {
	p := &Pool{opts: opts, peers: make(map[string]*peer), stop: make(chan struct{})}
	p.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:      "outbound",
		NPoller:   opts.Pollers,
		ReadLimit: opts.MaxAnswerBytes + nbio.DefaultReadBufferSize + 1<<20,
	})
	p.engine.OnClose(onClose)
	if err := p.engine.Start(); err != nil {
		return nil, fmt.Errorf("outbound: %w", err)
	}
	go p.sweep()
	return p, nil
}

// Close ends every connection.
func (p *Pool) Close() {
	close(p.stop)
	p.engine.Stop()
}

// Do sends r to addr, a host:port. done is called exactly once, possibly
// before Do returns. Do does not block.
func (p *Pool) Do(addr string, r *Request, done Done) *Call {
	k := &Call{req: r, done: done}
	pe := p.peer(addr)
	if c := pe.take(k); c != nil {
		c.start(k)
		return k
	}
	go pe.dial(k)
	return k
}

// Discard closes the free connections to addr that have been free for at
// least age. Something between the two ends can lose track of connections
// without telling either: when one has gone silent, those that have carried
// nothing since are suspect too, while a new one costs about a millisecond.
func (p *Pool) Discard(addr string, age time.Duration) {
	for _, c := range p.peer(addr).takeIdle(p.opts.Now(), age) {
		c.nbc.Close()
	}
}

// Connections returns the number of open connections to addr.
func (p *Pool) Connections(addr string) int {
	pe := p.peer(addr)
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.open
}

func (p *Pool) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe, ok := p.peers[addr]
	if !ok {
		pe = &peer{pool: p, addr: addr}
		p.peers[addr] = pe
	}
	return pe
}

// sweepInterval is how often free connections are checked for their age.
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
		p.mu.Lock()
		peers := make([]*peer, 0, len(p.peers))
		for _, pe := range p.peers {
			peers = append(peers, pe)
		}
		p.mu.Unlock()
		for _, pe := range peers {
			for _, c := range pe.takeIdle(p.opts.Now(), p.opts.IdleTimeout) {
				c.nbc.Close()
			}
		}
	}
}

// runInline runs the parser's completion on the poller's goroutine.
func runInline(f func()) bool {
	f()
	return true
}

func onClose(nc net.Conn, err error) {
	nbc, ok := nc.(*nbio.Conn)
	if !ok {
		return
	}
	pr, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	if c, ok := pr.Processor.(*conn); ok {
		c.onClose(err)
	}
}

// peer is one receiver's address and the connections to it.
type peer struct {
	pool *Pool
	addr string

	mu   sync.Mutex
	idle []*conn // the most recently used last
	open int
}

// take claims the most recently used free connection: the others age and are
// closed when the load falls.
func (pe *peer) take(k *Call) *conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	n := len(pe.idle)
	if n == 0 {
		return nil
	}
	c := pe.idle[n-1]
	pe.idle = pe.idle[:n-1]
	c.call = k
	return c
}

// takeIdle claims the connections free for at least age.
func (pe *peer) takeIdle(now clock.Time, age time.Duration) []*conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	var out []*conn
	pe.idle = slices.DeleteFunc(pe.idle, func(c *conn) bool {
		if c.idleFor(now) < age {
			return false
		}
		out = append(out, c)
		return true
	})
	return out
}

// release frees c for the next request and returns the call it carried. A
// connection that must not be used again is closed.
func (pe *peer) release(c *conn) *Call {
	pe.mu.Lock()
	k := c.call
	c.call = nil
	keep := !c.noReuse
	if keep {
		c.since = pe.pool.opts.Now()
		pe.idle = append(pe.idle, c)
	}
	pe.mu.Unlock()
	if !keep {
		c.nbc.Close()
	}
	return k
}

// busy reports whether c carries a call.
func (pe *peer) busy(c *conn) bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return c.call != nil
}

// drop forgets c and returns the call it carried.
func (pe *peer) drop(c *conn) *Call {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	k := c.call
	c.call = nil
	pe.idle = slices.DeleteFunc(pe.idle, func(o *conn) bool { return o == c })
	return k
}

// closed counts a connection out.
func (pe *peer) closed() {
	pe.mu.Lock()
	pe.open--
	pe.mu.Unlock()
}

// dial opens a connection for k.
func (pe *peer) dial(k *Call) {
	c, err := pe.connect(k)
	if err != nil {
		// Nothing has been sent: the request has not run.
		k.finish(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect, Err: err})
		return
	}
	c.start(k)
}

func (pe *peer) connect(k *Call) (*conn, error) {
	opts := &pe.pool.opts
	nc, err := opts.Dial("tcp", pe.addr, opts.DialTimeout)
	if err != nil {
		return nil, fmt.Errorf("outbound: %w", err)
	}
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("outbound: %w", err)
	}
	c := &conn{p: pe, nbc: nbc, call: k}
	c.parser = nbhttp.NewParser(nbc, pe.pool.engine, c, true, runInline)
	nbc.SetSession(c.parser)
	nbc.OnData(c.onData)
	pe.mu.Lock()
	pe.open++
	pe.mu.Unlock()
	if _, err := pe.pool.engine.AddConn(nbc); err != nil {
		pe.closed()
		_ = nbc.Close()
		return nil, fmt.Errorf("outbound: %w", err)
	}
	return c, nil
}
