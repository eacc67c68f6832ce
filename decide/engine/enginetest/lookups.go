package enginetest

import (
	"encoding/binary"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
)

// tokenLifetime is how long a token from a look-up is valid.
const tokenLifetime = time.Minute

// mint returns a token for an entry VM, bound to its incarnation in the list of
// known VMs, or "" if the list has none.
func (v *VM) mint(id fleet.VMID) string {
	vm, ok := v.knownVMs[id]
	if !ok || vm.Incarnation == 0 {
		return ""
	}
	v.tokensMinted++
	var nonce [token.NonceSize]byte
	binary.BigEndian.PutUint64(nonce[:], v.tokensMinted)
	copy(nonce[8:], v.Self.ID)
	return token.Mint(FleetKey, vm.ID, vm.Incarnation, nonce, v.now().Add(tokenLifetime))
}

// Lookup answers a look-up as the daemon does.
func (v *VM) Lookup(s fleet.ServiceName, c *Caller, out []steer.Choice) steer.Answer {
	a := v.view.Lookup(s, c.addr, out)
	if v.gate != nil && !v.gate.Allow(v.now(), s, a.Home, a.ShiftID) && a.Moved {
		a = v.unshifted.Lookup(s, c.addr, out)
	}
	v.w.Checker.checkLookup(v, s, a)
	return a
}

// Outcome answers a caller's query for the outcome of a token.
func (v *VM) Outcome(tok string, c *Submission) token.Admission {
	a := v.engine.Outcome(v.now(), tok)
	if a.Status != token.Duplicate || !a.Pending {
		v.w.Checker.recordVerdict(v.Self.ID, c, a.Verdict, a.Status.Reason())
	}
	return a
}
