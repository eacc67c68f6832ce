package outbound

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/decide/verdict"
)

// dial opens a connection for k, or for the next waiting request if k has got
// another connection meanwhile.
func (pe *peer) dial(k *Call) {
	c, claimed, err := pe.connect(k)
	pe.mu.Lock()
	pe.dialing--
	pe.mu.Unlock()
	if claimed == nil && err != nil && (k.req.waitsForOwn() || pe.stopWaiting(k)) {
		claimed = k
	}
	switch {
	case claimed == nil:
	case err != nil:
		// Nothing has been sent: the request has not run.
		claimed.finish(nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect, Err: err})
	default:
		c.start(claimed)
	}
	pe.assignIdle()
}

// reserveSpareDial reports whether no connection is idle or being opened, and
// if so counts a dial.
func (pe *peer) reserveSpareDial() bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if len(pe.idle) > 0 || pe.dialing > 0 {
		return false
	}
	pe.dialing++
	return true
}

// dialSpare opens a connection that no request waits for. A failure is ignored;
// the next request will meet it.
func (pe *peer) dialSpare() {
	pe.dial(&Call{req: &Request{}, done: func(*Answer, *verdict.Error) {}})
}

// connect opens a connection for k and returns the request that has claimed it,
// or nil if none has. On an error the claiming request fails with it.
func (pe *peer) connect(k *Call) (*conn, *Call, error) {
	opts := &pe.pool.opts
	timeout := opts.DialTimeout
	if k.req.ConnectTimeout > 0 {
		timeout = k.req.ConnectTimeout
	}
	began := opts.Now()
	nc, err := opts.Dial("tcp", pe.addr, timeout)
	if err != nil {
		return nil, nil, fmt.Errorf("outbound: %w", err)
	}
	return pe.add(nc, k, opts.Now().Sub(began))
}

// claimNew returns the request that gets a connection opened for k.
func (pe *peer) claimNew(k *Call) *Call {
	if k.req.waitsForOwn() || pe.stopWaiting(k) {
		return k
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if len(pe.waiting) == 0 {
		return nil
	}
	next := pe.waiting[0]
	pe.waiting = slices.Delete(pe.waiting, 0, 1)
	return next
}

// add registers a new connection with the pollers.
func (pe *peer) add(nc net.Conn, k *Call, connected time.Duration) (*conn, *Call, error) {
	p := pe.pool
	p.adding.RLock()
	defer p.adding.RUnlock()
	if p.closed {
		_ = nc.Close()
		return nil, nil, errClosed
	}
	if err := limitUnacknowledged(nc, p.opts.AckTimeout); err != nil {
		_ = nc.Close()
		return nil, nil, err
	}
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		return nil, nil, fmt.Errorf("outbound: register connection: %w", err)
	}
	claimed := pe.claimNew(k)
	c := &conn{p: pe, nbc: nbc, call: claimed, connected: connected}
	c.parser = nbhttp.NewParser(nbc, p.engine.Engine, c, true, runInline)
	nbc.SetSession(c.parser)
	nbc.OnData(c.onData)
	c.initialized.Store(true)
	pe.mu.Lock()
	pe.open++
	pe.mu.Unlock()
	if err := p.engine.Add(nbc); err != nil {
		pe.detach(c)
		pe.countClosed(c) // nbio may report the close as well
		_ = nbc.Close()
		return nil, claimed, fmt.Errorf("outbound: register connection: %w", err)
	}
	if claimed == nil {
		pe.addIdle(c)
	}
	return c, claimed, nil
}

// addIdle adds a new connection to the idle ones, unless it has closed already.
func (pe *peer) addIdle(c *conn) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if c.ended {
		return
	}
	c.connected = 0
	c.maxIdle = pe.pool.opts.IdleTimeout
	c.idleSince = pe.pool.opts.Now()
	pe.idle = append(pe.idle, c)
}
