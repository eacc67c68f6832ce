package peer

import (
	"strings"

	"github.com/lesismal/nbio"

	"github.com/azurethread/azurethread/decide/fleet"
)

// addressPrefix marks an id that stands for whichever VM is at an address.
const addressPrefix = "@"

// AtAddress returns a placeholder to pass to Send for the entry VM at addr, a
// host:port, whose id is not known. Answers arrive under the placeholder's id.
func AtAddress(addr string) fleet.VM {
	return fleet.VM{ID: fleet.VMID(addressPrefix + addr), PeerAddr: addr}
}

func isAddress(id fleet.VMID) bool { return strings.HasPrefix(string(id), addressPrefix) }

// dialIfNeeded starts a connection if messages are queued and there is none, or
// if the one in use no longer gets acknowledgements.
func (t *Transport) dialIfNeeded(r *remote) {
	now := t.now()
	needed := r.current == nil && len(r.queue) > 0
	needed = needed || (r.current != nil && r.current.unackedFor(now) > t.o.ReplaceAfter)
	if !needed || r.dialling || t.closing || r.vm.PeerAddr == "" || now.Before(r.nextDial) {
		return
	}
	r.dialling = true
	t.stats.Dials++
	t.goroutines.Add(1)
	go t.dial(r.vm)
}

// dial runs in a separate goroutine, since connecting blocks.
func (t *Transport) dial(vm fleet.VM) {
	defer t.goroutines.Done()
	nb, err := nbio.DialTimeout("tcp", vm.PeerAddr, t.o.DialTimeout)
	if err != nil {
		t.dialFailed(vm.ID)
		return
	}
	c := newConn(t, nb, t.now())
	c.dialled = true
	c.peer = vm.ID
	nb.SetSession(c)
	if !t.admit(c) {
		_ = nb.Close()
		return
	}
	if _, err := t.engine.AddConn(nb); err != nil {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		t.dialFailed(vm.ID)
		return
	}
	t.mu.Lock()
	err = c.sendHello(vm.ID, nil)
	t.mu.Unlock()
	if err != nil {
		_ = nb.CloseWithError(err)
	}
}

func (t *Transport) dialFailed(id fleet.VMID) {
	t.mu.Lock()
	r := t.remotes[id]
	if r != nil {
		t.backOff(r)
	}
	t.mu.Unlock()
	t.failed(id)
}

// backOff delays the next dial, doubling the delay with each failure.
func (t *Transport) backOff(r *remote) {
	t.stats.DialsFailed++
	r.dialling = false
	wait := t.o.BackoffMin << min(r.failures, 16)
	r.nextDial = t.now().Add(min(wait, t.o.BackoffMax))
	r.failures++
}
