package member

import (
	"cmp"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Options are the protocol's settings. A zero field means its default.
type Options struct {
	// Seeds are entry VMs to contact before the platform's list is available.
	Seeds []fleet.VM

	ProbeEvery      time.Duration // between pings to the ring successors
	RandomEvery     time.Duration // between pings to a random member or listed VM
	DirectTimeout   time.Duration // for the answer to a ping
	IndirectTimeout time.Duration // for the answer to a ping through relays
	SuspectFor      time.Duration // from suspicion to death, the time to refute
	Monitors        int           // ring successors that each VM pings
	Relays          int           // VMs asked to ping a VM that doesn't answer
	WatchEvery      time.Duration // between exchanges with a watched domain or region
	WatchTimeout    time.Duration // for the answer to a Watch
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
	// flushDelay batches updates that occur together into one message.
	flushDelay = 20 * time.Millisecond
	// backupDelay is how long the second representative that got an update waits
	// for the first one to forward it.
	backupDelay = 150 * time.Millisecond
	// joinTimeout ends the wait for an answer from another member at start.
	joinTimeout = time.Second
	// joinRetryInterval is the time between two attempts to find another member.
	joinRetryInterval = 250 * time.Millisecond
	// minSyncInterval limits the rate of requests for tables of other VMs.
	minSyncInterval = time.Second
	// mismatchTolerance is how long hashes must differ before tables are
	// exchanged: an update in transit makes them differ for a moment.
	mismatchTolerance = 500 * time.Millisecond
	// tombstoneTTL keeps the record of a dead VM, so that late facts don't make
	// it live again.
	tombstoneTTL = 30 * time.Second
	// recentlyHeardWithin is how long a message from a VM overrides other VMs'
	// facts that it is dead.
	recentlyHeardWithin = time.Second
	// contactGrace keeps a VM as a contact after the platform's list has dropped
	// it.
	contactGrace = time.Minute
	// reachResultTTL is how long a reachability result is valid.
	reachResultTTL = 20 * time.Second
	// pauseThreshold is the delay of a step from which on this process counts as
	// having been paused.
	pauseThreshold = 300 * time.Millisecond
	// minRefuteInterval limits the rate at which a VM broadcasts refutations.
	minRefuteInterval = 100 * time.Millisecond
	// reportIntervalPerVM makes the time between two load reports of a VM grow
	// with the size of the domain, up to maxReportInterval. Beyond that the
	// number of representatives grows, so that the cost of each stays the same.
	reportIntervalPerVM = 200 * time.Millisecond
	minReportInterval   = time.Second
	maxReportInterval   = 5 * time.Second
	// mergedTTL keeps entry VMs that another author of a partitioned domain
	// lists.
	mergedTTL = 8 * time.Second
	// mergedPublishInterval is the time between two rows that an author of a
	// partitioned domain publishes.
	mergedPublishInterval = 3 * time.Second

	pushCopies           = 2         // representatives of each domain or region that get an update
	maxPiggybackedFacts  = 3         // per ping or ack
	piggybackFactor      = 1         // a fact is sent this many times the log2 of the number of members
	minReps              = 2         // representatives of a domain with at least this many VMs
	maxReps              = MaxRowVMs // a row lists all representatives
	watchFallbacks       = 3         // further representatives asked before a remote counts as unreachable
	probesPerTimeout     = 2         // further successors pinged when one doesn't answer
	maxSentReachResults  = 24        // reachability results per message
	maxContactsPerDomain = 4         // listed VMs kept for each other domain
	maxMismatches        = 64        // VMs recorded as having different tables
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
