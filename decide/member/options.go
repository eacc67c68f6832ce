package member

import (
	"cmp"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Options are the protocol's settings. A zero field takes its default.
type Options struct {
	// Seeds are entry VMs to contact before the platform's list has come.
	Seeds []fleet.VM

	ProbeEvery      time.Duration // between pings to the ring's successors
	RandomEvery     time.Duration // between pings to a random member or listed VM
	DirectTimeout   time.Duration // to answer a ping
	IndirectTimeout time.Duration // to answer a ping through relays
	SuspectFor      time.Duration // to refute a suspicion
	Monitors        int           // successors that each VM pings
	Relays          int           // VMs asked to ping one that doesn't answer
	WatchEvery      time.Duration // between exchanges with a watched domain or region
	WatchTimeout    time.Duration // to answer a Watch
}

// The defaults of Options.
const (
	DefaultProbeEvery      = time.Second
	DefaultRandomEvery     = 2 * time.Second
	DefaultDirectTimeout   = 250 * time.Millisecond
	DefaultIndirectTimeout = 250 * time.Millisecond
	DefaultSuspectFor      = 800 * time.Millisecond
	DefaultMonitors        = 2
	DefaultRelays          = 3
	DefaultWatchEvery      = time.Second
	DefaultWatchTimeout    = 400 * time.Millisecond
)

const (
	// flushDelay batches updates that arise together into one message.
	flushDelay = 20 * time.Millisecond
	// backupDelay is how long the second representative waits for the first
	// to forward an update.
	backupDelay = 150 * time.Millisecond
	// joinTimeout ends the wait for an answer of a neighbour at start.
	joinTimeout = time.Second
	// joinRetryInterval is the time between two attempts to find a neighbour.
	joinRetryInterval = 250 * time.Millisecond
	// minSyncInterval bounds the exchange of tables with neighbours.
	minSyncInterval = time.Second
	// mismatchTolerance is how long hashes must differ before tables are exchanged:
	// an update in transit makes them differ for an instant.
	mismatchTolerance = 500 * time.Millisecond
	// tombstoneTTL keeps a dead VM, so that late facts don't revive it.
	tombstoneTTL = 30 * time.Second
	// recentlyHeardWithin is how long a message from a VM overrides other VMs' facts
	// that it is dead.
	recentlyHeardWithin = time.Second
	// contactGrace keeps a VM that left the platform's list as a contact.
	contactGrace = time.Minute
	// reachResultTTL keeps a statement about reachability.
	reachResultTTL = 20 * time.Second
	// pauseThreshold is how late a step may be before the process itself is taken
	// to have been paused.
	pauseThreshold = 300 * time.Millisecond
	// minRefuteInterval bounds how often a VM refutes at its own expense.
	minRefuteInterval = 100 * time.Millisecond
	// reportIntervalPerVM scales the time between two reports of a VM with the size
	// of the domain up to reportMax, from where on the number of
	// representatives grows, so that the cost of each stays level.
	reportIntervalPerVM = 200 * time.Millisecond
	minReportInterval   = time.Second
	maxReportInterval   = 5 * time.Second
	// mergedTTL keeps entry VMs that the other side of a partitioned domain
	// lists.
	mergedTTL = 8 * time.Second
	// mergedPublishInterval is the time between two rows of an author of a partitioned
	// domain.
	mergedPublishInterval = 3 * time.Second

	pushCopies        = 2      // representatives that get an update in each domain or region
	maxPiggybackedFacts    = 3      // facts carried by one ping or answer
	piggybackFactor   = 1      // multiplied by log2 of the members: how often a fact is carried
	minReps           = 2      // representatives of a domain that has as many VMs
	maxReps           = RowVMs // so that every other domain knows all of them
	watchFallbacks    = 3      // further representatives asked before a watched one is unreachable
	probesPerTimeout  = 2      // further successors pinged when one is silent
	maxSentReachResults = 24     // statements carried by one message
	maxContactsPerDomain = 4      // listed VMs kept of each other domain
	maxMismatches     = 64     // VMs whose tables are known to differ
)

func (o Options) withDefaults() Options {
	o.ProbeEvery = cmp.Or(o.ProbeEvery, DefaultProbeEvery)
	o.RandomEvery = cmp.Or(o.RandomEvery, DefaultRandomEvery)
	o.DirectTimeout = cmp.Or(o.DirectTimeout, DefaultDirectTimeout)
	o.IndirectTimeout = cmp.Or(o.IndirectTimeout, DefaultIndirectTimeout)
	o.SuspectFor = cmp.Or(o.SuspectFor, DefaultSuspectFor)
	o.WatchEvery = cmp.Or(o.WatchEvery, DefaultWatchEvery)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, DefaultWatchTimeout)
	o.Monitors = cmp.Or(o.Monitors, DefaultMonitors)
	o.Relays = cmp.Or(o.Relays, DefaultRelays)
	return o
}
