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

// domainPair names a direction between two failure domains.
type domainPair struct{ from, to fleet.Domain }

// vmPair names a direction between two entry VMs.
type vmPair struct{ from, to fleet.VMID }

// Network holds the faults between entry VMs, and on connections that carry
// requests.
type Network struct {
	// LossProbability is the part of the messages between entry VMs that is lost.
	LossProbability float64
	// Reorder lets messages overtake each other, as over several connections.
	Reorder bool
	// ExtraDelay is added to every delay between entry VMs.
	ExtraDelay time.Duration
	// FaultProbability is the part of the exchanges that meet a fault of their own.
	FaultProbability float64

	nextFault   map[Leg]Fault
	cuts        map[domainPair]bool
	addedDelay  map[vmPair]time.Duration
	lastArrival map[vmPair]clock.Time // arrival of the last message
}

func newNetwork() Network {
	return Network{
		nextFault:   make(map[Leg]Fault),
		cuts:        make(map[domainPair]bool),
		addedDelay:  make(map[vmPair]time.Duration),
		lastArrival: make(map[vmPair]clock.Time),
	}
}

// Cut loses everything from one failure domain to another, in that direction
// only.
func (n *Network) Cut(from, to fleet.Domain) { n.cuts[domainPair{from, to}] = true }

// Partition cuts both directions.
func (n *Network) Partition(a, b fleet.Domain) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// AddDelay adds a delay to the messages from one entry VM to another.
func (n *Network) AddDelay(from, to fleet.VMID, d time.Duration) { n.addedDelay[vmPair{from, to}] = d }

// SetNextFault decides the fate of the next exchange on a leg.
func (n *Network) SetNextFault(l Leg, f Fault) { n.nextFault[l] = f }

// Heal ends all faults.
func (n *Network) Heal() {
	clear(n.cuts)
	clear(n.addedDelay)
	n.LossProbability, n.FaultProbability, n.ExtraDelay, n.Reorder = 0, 0, 0, false
}

func (n *Network) isCut(from, to Location) bool { return n.cuts[domainPair{from.Domain, to.Domain}] }

// delay returns the one-way delay between two places.
func (w *World) delay(from, to Location) time.Duration {
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

// sendMessage carries a message between two entry VMs, in the order of sending
// unless Reorder is set.
func (w *World) sendMessage(from, to *VM, f func()) {
	n := &w.Network
	if n.isCut(from.Location, to.Location) || w.Chance(n.LossProbability) {
		return
	}
	key := vmPair{from.Self.ID, to.Self.ID}
	d := w.delay(from.Location, to.Location) + n.ExtraDelay + n.addedDelay[key]
	if n.Reorder {
		w.After(d+w.between(0, 20*time.Millisecond), f)
		return
	}
	at := max(w.Now.Add(d), n.lastArrival[key])
	n.lastArrival[key] = at
	w.schedule(at, f)
}
