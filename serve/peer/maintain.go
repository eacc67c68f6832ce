package peer

import (
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// maintainLoop runs maintain periodically until the transport is closed.
func (t *Transport) maintainLoop() {
	defer t.goroutines.Done()
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-tick.C:
			for _, id := range t.maintain() {
				t.failed(id)
			}
		}
	}
}

// maintain handles expired timers and returns the VMs whose connection it gave up.
func (t *Transport) maintain() []fleet.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, nb := range t.toClose {
		_ = nb.Close()
	}
	t.toClose = nil
	now := t.now()
	var lost []fleet.VMID
	for c := range t.conns {
		if t.maintainConn(c, now) {
			lost = append(lost, c.peer)
		}
	}
	for id, r := range t.remotes {
		t.expireQueue(r, now)
		t.dialIfNeeded(r)
		if r.current == nil && !r.dialling && len(r.queue) == 0 && now.Sub(r.nextDial) > t.o.IdleTimeout {
			delete(t.remotes, id)
		}
	}
	return lost
}

// maintainConn handles a connection's timers. It reports true if it gave up the
// connection in use to a VM.
func (t *Transport) maintainConn(c *conn, now time.Time) bool {
	if !c.established {
		return t.expireHandshake(c, now)
	}
	if !c.ackDue.IsZero() && !now.Before(c.ackDue) {
		c.sendAck()
	}
	if c.unackedFor(now) > t.o.LostAfter {
		t.stats.Lost++
		t.countUnconfirmed(c)
		current := t.remotes[c.peer] != nil && t.remotes[c.peer].current == c
		t.closeConn(c)
		return current
	}
	if now.Sub(c.lastReceived) > t.o.IdleTimeout {
		t.stats.IdleClosed++
		t.closeConn(c)
	}
	return false
}

// expireHandshake closes a connection whose handshake takes too long. Otherwise
// connections that send their hello slowly or not at all would use up the limit
// on connections permanently. It reports true if this side had dialled.
func (t *Transport) expireHandshake(c *conn, now time.Time) bool {
	if now.Sub(c.opened) <= t.o.HandshakeTimeout {
		return false
	}
	t.stats.HelloTimeouts++
	t.closeConn(c)
	if r := t.remotes[c.peer]; c.dialled && r != nil {
		t.backOff(r)
		return true
	}
	return false
}

func (t *Transport) expireQueue(r *remote, now time.Time) {
	for len(r.queue) > 0 && now.Sub(r.queue[0].at) > t.o.QueueTimeout {
		t.dropOldest(r)
	}
}
