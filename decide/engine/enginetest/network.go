package enginetest

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// One-way delays.
const (
	delayDomain   = 300 * time.Microsecond
	delayRegion   = 1500 * time.Microsecond
	delayFar      = 55 * time.Millisecond
	delayCaller   = 8 * time.Millisecond
	delayPlatform = 2 * time.Millisecond
)

// Round trips as the settings of entry VMs state them.
const (
	nearRTT = 2 * delayRegion
	farRTT  = 2 * delayFar
)

// cut names a direction between two failure domains.
type cut struct{ from, to fleet.Domain }

// link names a direction between two entry VMs.
type link struct{ from, to fleet.VMID }

// Network holds the faults between entry VMs, and on connections that carry
// requests.
type Network struct {
	// Loss is the part of the messages between entry VMs that is lost.
	Loss float64
	// Reorder lets messages overtake each other, as over several connections.
	Reorder bool
	// Extra is added to every delay between entry VMs.
	Extra time.Duration
	// Faulty is the part of the exchanges that meet a fault of their own.
	Faulty float64

	next map[Leg]Fate
	cuts map[cut]bool
	slow map[link]time.Duration
	last map[link]clock.Time // arrival of the last message
}

func newNetwork() Network {
	return Network{
		next: make(map[Leg]Fate),
		cuts: make(map[cut]bool),
		slow: make(map[link]time.Duration),
		last: make(map[link]clock.Time),
	}
}

// Cut loses everything from one failure domain to another, in that direction
// only.
func (n *Network) Cut(from, to fleet.Domain) { n.cuts[cut{from, to}] = true }

// Part cuts both directions.
func (n *Network) Part(a, b fleet.Domain) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Slow adds a delay to the messages from one entry VM to another.
func (n *Network) Slow(from, to fleet.VMID, d time.Duration) { n.slow[link{from, to}] = d }

// Next decides the fate of the next exchange on a leg.
func (n *Network) Next(l Leg, f Fate) { n.next[l] = f }

// Heal ends all faults.
func (n *Network) Heal() {
	clear(n.cuts)
	clear(n.slow)
	n.Loss, n.Faulty, n.Extra, n.Reorder = 0, 0, 0, false
}

func (n *Network) isCut(from, to Place) bool { return n.cuts[cut{from.Domain, to.Domain}] }

// delay returns the one-way delay between two places.
func (w *World) delay(from, to Place) time.Duration {
	d := delayFar
	switch {
	case from.Domain == "" || to.Domain == "":
		d = delayCaller
	case from.Domain == to.Domain:
		d = delayDomain
	case from.Region == to.Region:
		d = delayRegion
	}
	return d + time.Duration(w.rng.Int64N(int64(d)/4+1))
}

// message carries a message between two entry VMs, in the order of sending
// unless Reorder is set.
func (w *World) message(from, to *VM, f func()) {
	n := &w.Network
	if n.isCut(from.Place, to.Place) || w.Chance(n.Loss) {
		return
	}
	key := link{from.Self.ID, to.Self.ID}
	d := w.delay(from.Place, to.Place) + n.Extra + n.slow[key]
	if n.Reorder {
		w.After(d+w.between(0, 20*time.Millisecond), f)
		return
	}
	at := max(w.Now.Add(d), n.last[key])
	n.last[key] = at
	w.at(at, f)
}
