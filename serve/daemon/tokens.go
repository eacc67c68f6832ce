package daemon

import (
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
)

// tokenLifetime is how long a token is valid after it was issued.
const tokenLifetime = time.Minute

// mintToken creates a token that only the current process of vm accepts.
func (d *Daemon) mintToken(vm fleet.VM, now clock.Time) string {
	m := d.minters.Get().(*token.Minter)
	defer d.minters.Put(m)
	f := token.Fields{VM: vm.ID, Incarnation: vm.Incarnation, Expiry: now.Add(tokenLifetime)}
	if _, err := rand.Read(f.Nonce[:]); err != nil {
		return "" // no token is better than one that can be guessed
	}
	return m.Mint(f)
}

// mintTokens creates n tokens for one entry VM in a look-up's answer.
func (d *Daemon) mintTokens(id fleet.VMID, now clock.Time, n int) []string {
	vm, ok := d.vmWithIncarnation(id)
	if !ok || n == 0 {
		return nil
	}
	out := make([]string, n)
	for i := range out {
		out[i] = d.mintToken(vm, now)
	}
	return out
}

// alternatives returns the addresses of other entry VMs for a caller that is
// refused because this one is leaving.
func (d *Daemon) alternatives(service fleet.ServiceName, client netip.Addr) []string {
	var choices [steer.MaxChoices]steer.Choice
	a := d.lookups.answer(d.now(), service, client, choices[:])
	var out []string
	for _, c := range choices[:a.N] {
		if c.VM != d.self.ID {
			out = append(out, c.Addr)
		}
	}
	return out
}
