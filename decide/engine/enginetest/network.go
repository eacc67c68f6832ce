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

// Round-trip times in the settings of the entry VMs.
const (
	nearRTT = 2 * delayRegion
	farRTT  = 2 * delayFar
)

// domainPair is a direction between two failure domains.
type domainPair struct{ from, to fleet.Domain }

// vmPair is a direction between two entry VMs.
type vmPair struct{ from, to fleet.VMID }

// Network holds the faults of messages between entry VMs and of the connections
// that carry requests.
type Network struct {
	// LossProbability is the share of messages between entry VMs that are lost.
	LossProbability float64
	// Reorder allows messages to arrive out of order, as if they were sent over
	// several connections.
	Reorder bool
	// ExtraDelay is added to every delay between entry VMs.
	ExtraDelay time.Duration
	// FaultProbability is the share of exchanges for which a random fault is drawn.
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

// Cut drops everything from one failure domain to another, in this direction
// only.
func (n *Network) Cut(from, to fleet.Domain) { n.cuts[domainPair{from, to}] = true }

// Partition cuts both directions between two failure domains.
func (n *Network) Partition(a, b fleet.Domain) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// AddDelay adds a delay to the messages from one entry VM to another.
func (n *Network) AddDelay(from, to fleet.VMID, d time.Duration) { n.addedDelay[vmPair{from, to}] = d }

// SetNextFault sets the fault of the next exchange on a leg.
func (n *Network) SetNextFault(l Leg, f Fault) { n.nextFault[l] = f }

// Heal ends all faults.
func (n *Network) Heal() {
	clear(n.cuts)
	clear(n.addedDelay)
	n.LossProbability, n.FaultProbability, n.ExtraDelay, n.Reorder = 0, 0, 0, false
}

func (n *Network) isCut(from, to Location) bool { return n.cuts[domainPair{from.Domain, to.Domain}] }

// delay returns the one-way delay between two locations.
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

// sendMessage delivers a message between two entry VMs by calling f. Messages
// arrive in the order of sending unless Reorder is set.
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
