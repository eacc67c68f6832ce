package capacity

// The bounds set by the users, and the goals set by the project. Control is all
// work of a daemon except look-ups and callers' requests.
const (
	boundCore    = 0.048 // of a core, for the control of a daemon
	boundMemory  = 256e6 // bytes, for the control of a daemon
	boundTraffic = 3000  // bytes a second, for the control of a daemon
	boundInForce = 3.0   // seconds from accepted to in force on all entry VMs
	goalResident = 128e6 // bytes, for the table of client blocks
	goalLookup   = 1e-6  // seconds, for a look-up decision
	goalJoin     = 2.0   // seconds, for a cold start
)

// The rates that the platform's service can handle. The users state "several
// hundred" writes and "about two thousand" reads a second.
const (
	platformReads  = 2000
	platformWrites = 300
)

// Assumptions, which cannot be measured on one machine.
const (
	leaseInterval   = 5.0  // seconds between two renewals of a duty's lease
	writesPerChange = 2.0  // for a change by an operator: the catalogue, and a retry after a conflict
	weightInterval  = 25.0 // seconds between two steps of a weight (steer.Settle)
)

func (m *model) roles() []role {
	return []role{m.entryVM(), m.reader(), m.shiftRunner(), m.platform(), m.callers(), m.churn(), m.fleet()}
}

// The sizes of the fleet in which all control was measured at once.
const (
	measuredMembers = 43
	measuredDomains = 77
	measuredRegions = 22
)

// controlCost returns a cost of a daemon's control traffic: the cost measured
// in the fleet of the planned sizes, adjusted to the requested sizes by the
// slopes that were measured.
func (m *model) controlCost(kind string) figure {
	f := m.atSinglePoint(kind+"/letter", measuredMembers)
	s := m.sizes
	for _, d := range []struct {
		name                string
		requested, measured float64
	}{
		{"members", s.vmsPerDomain(), measuredMembers},
		{"domains", float64(s.Domains), measuredDomains},
		{"regions", float64(s.Regions), measuredRegions},
	} {
		// The planned sizes have 42.86 members in a domain, the measured fleet 43.
		if diff := d.requested - d.measured; f.basis == notMeasured || diff > -1 && diff < 1 {
			continue
		}
		f.basis = weakerBasis(extrapolated, f.basis)
		if _, ok := m.fits[kind+"/"+d.name]; ok {
			f.value += m.at(kind+"/"+d.name, d.requested).value - m.at(kind+"/"+d.name, d.measured).value
		}
	}
	return f
}

// realDomains is the number of failure domains in the measured fleets of real
// daemons.
const realDomains = 6

// realDaemonCost returns a cost of real daemons, with the requested number in
// each domain.
func (m *model) realDaemonCost(kind string) figure {
	return m.at(kind+"/daemons", realDomains*m.sizes.vmsPerDomain())
}

// platformCalls returns the calls of all daemons to the platform. They were
// measured in the fleet of the planned sizes. They are proportional to the
// number of domains and independent of the members of a domain.
func (m *model) platformCalls(kind string) figure {
	f := m.atSinglePoint(kind+"/letter", measuredMembers)
	return m.scaleByDomains(f)
}

func (m *model) scaleByDomains(f figure) figure {
	if f.basis == notMeasured || m.sizes.Domains == measuredDomains {
		return f
	}
	return figure{f.value * float64(m.sizes.Domains) / measuredDomains, extrapolated}
}

// eventCPU returns the processor time for one event of the configuration's
// reducer, in seconds.
func (m *model) eventCPU(kind string) figure {
	return m.atSinglePoint("config-step-"+kind+"/once", 1).scaled(1e-9)
}

// configCPU returns the processor time for configuration, as a fraction of a
// core.
func (m *model) configCPU() figure {
	rest := m.controlCost("config-rest-msgs").times(m.eventCPU("digest"))
	return rest.plus(m.eventCPU("push").timesValue(m.sizes.changeRate()))
}

// viewCPU returns the processor time for rebuilding views, as a fraction of a
// core.
func (m *model) viewCPU() figure {
	rate := m.sizes.eventRate() + 1/weightInterval + m.sizes.changeRate()
	return m.at("view/vms", float64(m.sizes.Daemons)).scaled(1e-6).timesValue(rate)
}

// controlTraffic returns the control bytes that a daemon sends per second at
// the mean rate of changes.
func (m *model) controlTraffic(prefix string) figure {
	changes := m.controlCost("config-change-" + prefix + "bytes").timesValue(m.sizes.changeRate())
	return m.controlCost("control-" + prefix + "bytes").plus(m.controlCost("config-rest-" + prefix + "bytes")).plus(changes)
}

func (m *model) entryVM() role {
	s := m.sizes
	blocks := float64(s.Blocks)
	control := m.controlCost("control-cpu").scaled(1e-6)
	return role{
		name: "Entry VM",
		note: "One of the daemons. Control is everything but look-ups and callers' requests. Traffic is what is sent; on the mean as much is received.",
		rows: []row{
			{"state: table of blocks", m.at("table/blocks", blocks), unitBytes, goalResident,
				"sorted pages, 8 B an IPv4 and 16 B an IPv6 block (decide/block)"},
			{"state: view of entry VMs and weights", m.at("view-bytes/vms", float64(s.Daemons)), unitBytes, 0,
				"immutable, replaced as a whole (decide/steer)"},
			{"state: membership and load", m.controlCost("control-state"), unitBytes, 0,
				"own domain in detail, others as rows (decide/member, decide/load)"},
			{"memory: growth by a resident table", m.atSinglePoint("resident/once", blocks), unitBytes, goalResident,
				"one table at rest"},
			{"memory: peak growth while a table is loaded beside the old one", m.atSinglePoint("swap-chunks/once", blocks), unitBytes, boundMemory,
				"built from chunks while the old one serves; collector at its default pace"},
			{"messages: at rest", m.controlCost("control-msgs").plus(m.controlCost("config-rest-msgs")), unitPerSec, 0,
				"pings, watches, reports (decide/member), digests (decide/config)"},
			{"traffic: mean daemon, mean rate of changes", m.controlTraffic(""), unitBytesPS, boundTraffic,
				"aggregates per domain and region; deltas"},
			{"traffic: daemon that sends most", m.controlTraffic("max-"), unitBytesPS, boundTraffic,
				"sum of the largest of each kind, which need not be one daemon; duties of a domain spread over representatives"},
			{"traffic: mean daemon in a burst of changes", m.controlCost("control-bytes").plus(m.controlCost("config-burst-bytes")), unitBytesPS, boundTraffic,
				"changes within 100 ms are merged"},
			{"traffic: daemon that sends most, in a burst", m.controlCost("control-max-bytes").plus(m.controlCost("config-burst-max-bytes")), unitBytesPS, boundTraffic,
				"the root of a push differs from change to change"},
			{"processor: membership and load", control, unitCore, boundCore, "reducers and encoding"},
			{"processor: configuration", m.configCPU(), unitCore, boundCore, "digests, pushes of a catalogue of 1,000 entries"},
			{"processor: views rebuilt", m.viewCPU(), unitCore, boundCore, "one for each VM event, change and weight step"},
			{"processor: all control", control.plus(m.configCPU()).plus(m.viewCPU()), unitCore, boundCore, "sum of the three; decoding of frames and the kernel are not in it"},
			{"a change in force at the last daemon", m.controlCost("config-in-force").scaled(1e-3), unitSeconds, boundInForce,
				"tree in the domain, cross pushes between domains; fake time, 1-2 ms and 55 ms latency"},
			{"real daemons in 6 domains, at rest: processor", m.realDaemonCost("spread-rest-cpu").scaled(1e-6), unitCore, boundCore,
				"one process on loopback; kernel and stand-ins included"},
			{"real daemons in 6 domains, at rest: traffic, mean daemon", m.realDaemonCost("spread-rest-bytes"), unitBytesPS, boundTraffic,
				"payload; TCP's headers are not in it"},
			{"real daemons in 6 domains, at rest: traffic, daemon that sends most", m.realDaemonCost("spread-rest-max-bytes"), unitBytesPS, boundTraffic,
				"the same, over 10 s"},
			{"real daemons in 6 domains: a change in force at the last, median", m.realDaemonCost("spread-in-force").scaled(1e-3), unitSeconds, boundInForce,
				"latencies of the brief between domains added"},
			{"real daemons in 6 domains: the same, slowest of 20", m.realDaemonCost("spread-in-force-max").scaled(1e-3), unitSeconds, boundInForce,
				"the same"},
		},
	}
}

// lookupDuration returns the duration of a look-up decision: the value for the
// number of blocks, adjusted by the slope over sites if the number of sites
// differs from the planned one.
func (m *model) lookupDuration() figure {
	f := m.at("lookup/blocks", float64(m.sizes.Blocks))
	if m.sizes.Sites != PlannedSizes.Sites {
		atSites := m.at("lookup/sites", float64(m.sizes.Sites))
		f.value += atSites.value - m.at("lookup/sites", float64(PlannedSizes.Sites)).value
		f.basis = weakerBasis(f.basis, atSites.basis)
	}
	return f.scaled(1e-9)
}

func (m *model) reader() role {
	s := m.sizes
	readers := float64(s.Readers * s.Domains)
	return role{
		name: "Domain reader",
		note: "An entry VM that, by its rank, also watches the platform for its failure domain.",
		rows: []row{
			{"readers in the fleet", arithmetic(readers), unitCount, 0, "ranked hash over live members (decide/config)"},
			{"calls to the platform at rest", m.platformCalls("config-rest-calls").timesValue(1 / readers), unitPerSec, 0,
				"one waiting watch, and a plain read after every few"},
			{"calls to the platform in a burst", m.platformCalls("config-burst-calls").timesValue(1 / readers), unitPerSec, 0,
				"a watch returns the latest revision, so changes in between are skipped"},
			{"processor: one document of 1,000 entries read", m.eventCPU("document"), unitSeconds, 0, "compared with the one in force"},
			{"traffic: sent for one change, the daemon that sends most", m.controlCost("config-change-max-bytes"), unitBytes, 0,
				"tree of bounded fan-out; deltas, not whole catalogues"},
			{"traffic: whole table of blocks, for a new one", m.at("chunks/blocks", float64(s.Blocks)), unitBytes, 0,
				"chunks keyed by content; unchanged ones need not be read again (decide/block; not wired into daemons yet)"},
		},
	}
}

// stepRate returns the number of steps of shifts per second.
func (s *Sizes) stepRate() float64 { return float64(s.Shifts) / s.Step.Seconds() }

func (m *model) shiftRunner() role {
	return role{
		name: "Shift runner",
		note: "The entry VM that holds the lease to advance shifts; the others follow what it writes.",
		rows: []row{
			{"writes: steps of running shifts", arithmetic(m.sizes.stepRate()), unitPerSec, platformWrites, "compare-and-swap on the entry's revision (decide/shift)"},
			{"writes: renewal of the lease", arithmetic(1 / leaseInterval), unitPerSec, platformWrites, "one lease for the duty, none for a daemon"},
			{"processor: planning", m.at("plan/shifts", float64(m.sizes.Shifts)).scaled(1e-9), unitCore, boundCore, "all shifts evaluated once a second, three services each (decide/shift)"},
		},
	}
}

func (m *model) platform() role {
	s := m.sizes
	writes := writesPerChange*s.changeRate() + s.stepRate() + 1/leaseInterval
	burst := float64(s.Burst-1) * s.changeRate() * writesPerChange
	return role{
		name: "Platform service",
		note: "The users' key-value service; calls of all entry VMs together.",
		rows: []row{
			{"reads at rest", m.platformCalls("config-rest-calls"), unitPerSec, platformReads, "watches of the readers; flat in the members of a domain"},
			{"reads in the 3 s of a change", m.platformCalls("config-change-calls"), unitCount, platformReads * boundInForce, "readers only"},
			{"reads in a burst", m.platformCalls("config-burst-calls"), unitPerSec, platformReads, "a watch returns the latest revision"},
			{"baseline, every daemon watching: reads at rest", m.at("config-rest-calls/baseline", float64(s.Daemons)), unitPerSec, 0, "for comparison; not how it is built"},
			{"baseline, every daemon watching: reads in a burst", m.at("config-burst-calls/baseline", float64(s.Daemons)), unitPerSec, 0, "for comparison"},
			{"writes at the mean rate", arithmetic(writes), unitPerSec, platformWrites, "operators, steps of shifts, leases of duties"},
			{"writes in a burst", arithmetic(writes + burst), unitPerSec, platformWrites, "as above"},
			{"values that hold the table", m.atSinglePoint("chunk-count/once", float64(s.Blocks)), unitCount, 0, "chunks of up to 1 MB, cut by content"},
		},
	}
}

func (m *model) callers() role {
	s := m.sizes
	perDaemon := arithmetic(float64(s.Lookups) / float64(s.Daemons))
	away := float64(s.Regions) / float64(s.Regions-1)
	decision := m.lookupDuration()
	http := m.atSinglePoint("http-lookups/once", 1)
	return role{
		name: "Callers' look-ups",
		note: "Answered by every entry VM from its own view, without asking anybody.",
		rows: []row{
			{"decision", decision, unitSeconds, goalLookup, "page search and weighted rendezvous; no allocation (decide/steer)"},
			{"decisions a core", decision.inverse(), unitPerSec, 0, "as above"},
			{"HTTP look-ups a core", http, unitPerSec, 0, "nbhttp, the whole daemon; processor time of the process"},
			{"look-ups a daemon", perDaemon, unitPerSec, 0, "callers ask any entry VM"},
			{"look-ups a daemon with one region away", perDaemon.timesValue(away), unitPerSec, 0,
				"its clients spread over all other regions by weight"},
			{"processor: look-ups of a daemon, over HTTP", perDaemon.times(http.inverse()), unitCore, 0, "not control"},
			{"load of a site per entry VM, worst to mean", m.atSinglePoint("spread/once", float64(s.Sites)), unitRatio, 0, "rendezvous over entry VMs"},
		},
	}
}

func (m *model) churn() role {
	s := m.sizes
	blocks := float64(s.Blocks)
	table := m.at("chunks/blocks", blocks)
	others := float64(max(1, s.Regions-1))
	return role{
		name: "Churn",
		note: "What changes of the fleet cost, by kind of event.",
		rows: []row{
			{"VM events: time between two", arithmetic(1 / s.eventRate()), unitSeconds, 0, "failures and replacements of a day"},
			{"VM event: new view at every daemon", m.at("view/vms", float64(s.Daemons)).scaled(1e-6), unitSeconds, 0, "the table is shared with the old view"},
			{"VM event: part of the clients that change their entry VM", arithmetic(1 / float64(s.Daemons)), unitShare, 0, "those of the VM itself, by rendezvous"},
			{"joins: tables sent to joiners, mean daemon", table.timesValue(s.eventRate() / float64(s.Daemons)), unitBytesPS, boundTraffic,
				"chunks, averaged over all daemons and the day (not wired into daemons yet)"},
			{"joins: table built from chunks", m.at("decode/blocks", blocks).scaled(1e-3), unitSeconds, goalJoin, "one core"},
			{"site lost: clients of other sites moved", m.atSinglePoint("site-loss-others/once", float64(s.Sites)), unitRatio, 0, "rendezvous; they keep their entry VM"},
			{"1% less weight of a domain: part of its clients moved", m.atSinglePoint("weight-change/once", float64(s.Sites)), unitShare, 0, "nested by hash; clients of other domains stay"},
			{"site lost: clients moved, to the ideal of 1/sites", m.atSinglePoint("site-loss/once", float64(s.Sites)), unitRatio, 0, "its own clients only; the goal is within 10% of 1"},
			{"domain lost: entry VMs gone at once", arithmetic(s.vmsPerDomain()), unitCount, 0, "one row of the domain, one view"},
			{"domain lost: part of the clients moved", arithmetic(1 / float64(s.Domains)), unitShare, 0, "to other domains of the region, by weight"},
			{"domain back: tables for all its entry VMs", table.timesValue(s.vmsPerDomain()), unitBytes, 0,
				"each from a neighbour that has it; the platform last (not wired into daemons yet)"},
			{"region cut off for an hour: changes missed", arithmetic(s.changeRate() * 3600), unitCount, 0,
				"one snapshot of the catalogue; deltas reach back 256 changes"},
			{"region cut off: growth of each other region's load", arithmetic(1 / others), unitShare, 0,
				"if its callers reach the others; it goes on serving those that reach it"},
		},
	}
}
