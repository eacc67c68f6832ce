package steer

import (
	"net/netip"
	"time"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Times to live of answers.
const (
	// TTLSteady is the normal time to live. It bounds how long a caller uses
	// an entry VM that has left or an outdated weight.
	TTLSteady = 20 * time.Second
	// TTLMoving applies while a shift of the client's traffic is running,
	// while the chosen domain is nearly full, and to clients whose home region
	// has no live entry VM, so that callers see the next change soon.
	TTLMoving = 5 * time.Second
)

// NearlyFullWeight is the weight at or below which a domain is nearly full.
const NearlyFullWeight = FullWeight / 2

// MaxChoices is the largest number of entry VMs in an answer.
const MaxChoices = 8

// Choice is one entry VM of an answer.
type Choice struct {
	VM     fleet.VMID
	Addr   string // host:port for callers
	Region fleet.Region
	Domain fleet.Domain
	Site   fleet.Site
}

// Answer is the result of a look-up. Its choices are in the slice passed to
// Lookup.
type Answer struct {
	N      int           // number of choices; 0 when no entry VM is live
	TTL    time.Duration // how long the caller may keep the answer
	Home   fleet.Region  // the client's home region
	Region fleet.Region  // the region of the first choice; empty when N is 0
	// Block is the hash of the client's block, by which shares of traffic are
	// counted.
	Block uint64
	// Known is false for clients that are in no block.
	Known bool
	// Moved is true if the shift ShiftID moves the client to Region.
	Moved   bool
	ShiftID string
}

// client is the client's block and its home.
type client struct {
	hash  uint64
	home  homeRef
	known bool
}

// Lookup fills out with entry VMs for a client of service, best first, and
// describes them. It uses at most MaxChoices elements of out, which should have
// at least two, and allocates nothing.
func (v *View) Lookup(service fleet.ServiceName, addr netip.Addr, out []Choice) Answer {
	out = out[:min(len(out), MaxChoices)]
	c := v.client(addr)
	row := v.row(service)
	a := Answer{Home: c.home.name, Block: c.hash, Known: c.known, TTL: TTLSteady}

	region, preferred := c.home.region, c.home.domains
	if to, id, moved := v.shiftRegion(service, c, row); moved {
		region, preferred = to, nil
		a.Moved, a.ShiftID = true, id
	}
	if region < 0 {
		region = v.nextRegion(c, row, -1)
		a.TTL = TTLMoving
	}
	if region < 0 || len(out) == 0 {
		return a
	}
	var r ranking
	v.rank(&r, region, c.hash, row, preferred)
	a.N = v.fillChoices(out, &r, c, row, region)
	a.Region = v.regions[region].name
	if v.shiftRunning(service, c.home.name) || v.weights[row][r.candidates[0].domain] <= NearlyFullWeight {
		a.TTL = TTLMoving
	}
	return a
}

// client returns the block of addr and its home.
func (v *View) client(addr netip.Addr) client {
	if m, ok := v.blocks.Lookup(addr); ok {
		return client{hash: block.Hash(m.Prefix), home: v.homes[m.Home], known: true}
	}
	return client{
		hash: block.Hash(block.DefaultBlock(addr)),
		home: homeRef{region: v.self, name: v.selfName},
	}
}

// row returns the index of the service's row of weights.
func (v *View) row(service fleet.ServiceName) int {
	if i, ok := v.byService[service]; ok {
		return i
	}
	return len(v.weights) - 1
}

// shiftRegion returns the region to which a traffic shift moves the client.
//
// A shift whose receiver has no live entry VM moves no clients: nothing could
// serve them there, while their home region may still do so.
func (v *View) shiftRegion(service fleet.ServiceName, c client, row int) (to int, id string, moved bool) {
	if v.shifts == nil {
		return -1, "", false
	}
	name, id, moved := v.shifts.Region(service, c.home.name, c.hash)
	if !moved {
		return -1, "", false
	}
	if name == "" {
		to = v.nextRegion(c, row, c.home.region)
	} else {
		to = v.regionIndex(name)
	}
	return to, id, to >= 0
}

// shiftRunning reports whether a running shift moves traffic of service out of
// home.
func (v *View) shiftRunning(service fleet.ServiceName, home fleet.Region) bool {
	for i := range v.running {
		r := &v.running[i]
		if r.From == home && (r.Service == "" || r.Service == service) {
			return true
		}
	}
	return false
}

// fillChoices writes the choices: the best entry VM of each domain, then the
// second best of each. If the region has only one domain, the last choice is in
// another region, so that the caller still has an entry VM if the domain is
// lost.
func (v *View) fillChoices(out []Choice, r *ranking, c client, row, region int) int {
	local := out
	if r.n == 1 && len(out) > 1 {
		local = out[:len(out)-1]
	}
	n := v.fillLocal(local, r)
	if r.n > 1 || n == len(out) {
		return n
	}
	other := v.nextRegion(c, row, region)
	if other < 0 && c.home.region != region {
		// The client was moved and there is no third region. The home region
		// is still better than choices in one domain only.
		other = c.home.region
	}
	if other < 0 {
		return n
	}
	var far ranking
	v.rank(&far, other, c.hash, row, nil)
	out[n] = v.vms[far.candidates[0].best]
	return n + 1
}

// fillLocal writes the choices of the region that r ranks.
func (v *View) fillLocal(out []Choice, r *ranking) int {
	n := 0
	for i := 0; i < r.n && n < len(out); i++ {
		out[n] = v.vms[r.candidates[i].best]
		n++
	}
	for i := 0; i < r.n && n < len(out); i++ {
		if s := r.candidates[i].second; s >= 0 {
			out[n] = v.vms[s]
			n++
		}
	}
	return n
}
