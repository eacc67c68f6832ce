package capacity

import (
	"github.com/azurethread/azurethread/decide/config"
)

// The bounds that the users have set for one daemon.
const (
	boundCore    = 0.048 // of a core, for control
	boundMemory  = 256e6 // bytes
	boundTraffic = 3000  // bytes a second, for control
	goalResident = 128e6 // bytes, the project's own goal for the table
	goalLookup   = 1e-6  // seconds, the project's own goal for a decision
)

// What the platform's service takes; the users say "several hundred" writes
// and "about two thousand" reads a second. A waiting watch counts as a call.
const (
	platformReads  = 2000
	platformWrites = 300
	platformValue  = 1e6 // bytes
)

// What is assumed of a day, since none of it can be measured on one machine.
const (
	inForceWithin   = 3.0  // seconds, the users' bound on a change
	burstReads      = 2    // calls of a reader for each change it sees: the watch's return and a plain read
	leaseEvery      = 5.0  // seconds between two renewals of a duty's lease
	writesPerChange = 2    // of an operator: the catalogue and its retry after a conflict
	regionLoss      = 1.0  // regions away at once
	cutOffHours     = 1.0  // of a region
	weightStep      = 25.0 // seconds between two steps of a weight (steer.Settle)
)

func (m *model) roles() []role {
	return []role{
		m.entryVM(), m.reader(), m.runner(), m.platform(), m.callers(), m.churn(),
	}
}

// control returns a figure of the control traffic at rest: the one measured at
// the letter's fleet, moved along the slopes to the asked one.
func (m *model) control(kind string) figure {
	f := m.once(kind+"/letter", letterMembers)
	if f.basis == notMeasured {
		return f
	}
	s := m.sizes
	for _, d := range []struct {
		name      string
		asked, at float64
	}{
		{"members", s.perDomain(), letterMembers},
		{"domains", float64(s.Domains), letterDomains},
		{"regions", float64(s.Regions), letterRegions},
	} {
		// The letter's members per domain are 42.86, the fleet measured has 43.
		if diff := d.asked - d.at; diff > -1 && diff < 1 {
			continue
		}
		step := m.at(kind+"/"+d.name, d.asked)
		f.value += step.value - m.at(kind+"/"+d.name, d.at).value
		f.basis = weaker(extrapolated, step.basis)
	}
	return f
}

// The fleet at which control traffic was measured as a whole.
const (
	letterMembers = 43
	letterDomains = 77
	letterRegions = 22
)

func (m *model) entryVM() role {
	s := m.sizes
	blocks, vms := float64(s.Blocks), float64(s.Daemons)
	lookups := arithmetic(float64(s.Lookups) / float64(s.Daemons))
	decision := m.lookup()
	rebuild := m.at("view/vms", vms).scaled(1e-6)
	changes := arithmetic(s.eventRate() + 1/weightStep + s.changeRate())
	return role{
		name: "Entry VM",
		note: "One of the daemons. Control is everything but look-ups and callers' requests.",
		rows: []row{
			{"state: table of blocks", m.at("table/blocks", blocks), unitBytes, goalResident,
				"sorted pages, 8 B an IPv4 and 16 B an IPv6 block (decide/block)"},
			{"state: view of entry VMs and weights", m.at("view-bytes/vms", vms), unitBytes, 0,
				"immutable view, replaced as a whole (decide/steer)"},
			{"state: membership and load", m.control("control-state"), unitBytes, 0,
				"own domain in detail, others as rows (decide/member, decide/load)"},
			{"memory: resident with the table", m.once("resident/once", blocks), unitBytes, goalResident,
				"one table at rest"},
			{"memory: peak while a table is loaded beside the old one", m.once("swap-chunks/once", blocks), unitBytes, boundMemory,
				"new table built while the old one serves; collector at its default pace"},
			{"messages: control sent at rest", m.control("control-msgs"), unitPerSec, 0,
				"pings, watches and reports (decide/member)"},
			{"traffic: control sent at rest, mean", m.control("control-bytes"), unitBytesPS, boundTraffic,
				"aggregates per domain and region instead of members"},
			{"traffic: control sent at rest, a representative", m.control("control-max-bytes"), unitBytesPS, boundTraffic,
				"duties spread over several representatives"},
			{"processor: membership and load", m.control("control-cpu").scaled(1e-6), unitCore, boundCore,
				"reducers and encoding; the receiver's decoding is not in it"},
			{"processor: views rebuilt", rebuild.times(changes), unitCore, boundCore,
				"one rebuild for each VM event, change and weight step"},
			{"processor: look-up decisions", lookups.times(decision), unitCore, 0,
				"not control; the decision alone, without HTTP"},
		},
	}
}

// lookup returns the duration of a decision: measured over blocks, and moved
// along the slope over sites where other sites are asked for.
func (m *model) lookup() figure {
	f := m.at("lookup/blocks", float64(m.sizes.Blocks))
	if sites := float64(m.sizes.Sites); m.sizes.Sites != Letter.Sites {
		there := m.at("lookup/sites", sites)
		f.value += there.value - m.at("lookup/sites", float64(Letter.Sites)).value
		f.basis = weaker(f.basis, there.basis)
	}
	return f.scaled(1e-9)
}

func (m *model) reader() role {
	s := m.sizes
	readers := float64(s.Readers * s.Domains)
	idle := 1 / config.WatchWait.Seconds() * (1 + 1.0/config.PlainReadEvery)
	chunks := m.at("chunks/blocks", float64(s.Blocks))
	return role{
		name: "Domain reader",
		note: "An entry VM that, by its rank, also watches the platform for its failure domain.",
		rows: []row{
			{"readers in the fleet", arithmetic(readers), unitCount, 0, "ranked hash over live members (decide/config)"},
			{"calls to the platform at rest", arithmetic(idle), unitPerSec, 0,
				"one waiting watch, and a plain read after every few"},
			{"calls to the platform at the mean rate of changes", arithmetic(idle + burstReads*s.changeRate()), unitPerSec, 0,
				"a watch returns once a change"},
			{"traffic: one change pushed into the domain", m.at("change-bytes/members", s.perDomain()), unitBytes, 0,
				"tree of bounded fan-out; deltas, not whole catalogues"},
			{"traffic: whole table of blocks, once for a new one", chunks, unitBytes, 0,
				"chunks keyed by content; unchanged ones are not read again (decide/block)"},
		},
	}
}

func (m *model) runner() role {
	s := m.sizes
	steps := float64(s.Shifts) / s.Step.Seconds()
	return role{
		name: "Shift runner",
		note: "The entry VM that holds the lease to advance shifts; the others follow what it writes.",
		rows: []row{
			{"writes: steps of running shifts", arithmetic(steps), unitPerSec, platformWrites, "compare-and-swap on the entry's revision"},
			{"writes: renewal of the lease", arithmetic(1 / leaseEvery), unitPerSec, platformWrites, "one lease for the duty, none for a daemon"},
			{"processor: planning", m.at("plan-cpu/shifts", float64(s.Shifts)).scaled(1e-6), unitCore, boundCore, "one evaluation a second and shift (decide/shift)"},
		},
	}
}

func (m *model) platform() role {
	s := m.sizes
	readers := float64(s.Readers * s.Domains)
	idle := readers / config.WatchWait.Seconds() * (1 + 1.0/config.PlainReadEvery)
	writes := writesPerChange*s.changeRate() + float64(s.Shifts)/s.Step.Seconds() + 1/leaseEvery
	burst := float64(s.Burst) * s.changeRate()
	chunkCount := m.at("chunks/blocks", float64(s.Blocks)).scaled(1 / (platformValue / 2))
	return role{
		name: "Platform service",
		note: "The users' key-value service; calls of all entry VMs together.",
		rows: []row{
			{"reads at rest", arithmetic(idle), unitPerSec, platformReads, "watches of the readers"},
			{"reads for one change", arithmetic(readers * burstReads), unitCount, platformReads * inForceWithin,
				"readers only; the bound is what it answers within 3 s"},
			{"reads in a burst", arithmetic(idle + readers*burstReads*min(burst, 1/config.MinPushInterval.Seconds())), unitPerSec, platformReads,
				"a watch returns the latest revision, so changes within one round trip are read at once"},
			{"writes at the mean rate", arithmetic(writes), unitPerSec, platformWrites, "operators, steps of shifts, leases of duties"},
			{"writes in a burst", arithmetic(writes + writesPerChange*burst), unitPerSec, platformWrites, "as above"},
			{"values that hold the table", chunkCount, unitCount, 0, "chunks of up to 1 MB, about half full"},
			{"baseline, every daemon watching: reads for one change", arithmetic(float64(s.Daemons)), unitCount, 0,
				"for comparison; not how it is built"},
		},
	}
}

func (m *model) callers() role {
	s := m.sizes
	perDaemon := float64(s.Lookups) / float64(s.Daemons)
	decision := m.lookup()
	away := float64(s.Regions) / (float64(s.Regions) - regionLoss)
	perCore := figure{1 / decision.value, decision.basis}
	if decision.value == 0 {
		perCore.value = 0
	}
	http := m.once("http-lookups/once", 1)
	return role{
		name: "Callers' look-ups",
		note: "Answered by every entry VM from its own view, without asking anybody.",
		rows: []row{
			{"decision", decision, unitSeconds, goalLookup, "page search and weighted rendezvous; no allocation (decide/steer)"},
			{"decisions a core", perCore, unitPerSec, 0, "as above"},
			{"look-ups a daemon", arithmetic(perDaemon), unitPerSec, 0, "callers choose any entry VM"},
			{"look-ups a daemon with one region away", arithmetic(perDaemon * away), unitPerSec, 0,
				"its clients spread over all other regions by weight"},
			{"HTTP look-ups a core", http, unitPerSec, 0, "nbhttp, the whole daemon"},
			{"load of a site per entry VM, worst to mean", m.once("spread/once", float64(s.Sites)), unitRatio, 0, "rendezvous over entry VMs"},
		},
	}
}

func (m *model) churn() role {
	s := m.sizes
	blocks := float64(s.Blocks)
	snapshot := m.at("chunks/blocks", blocks)
	perDomain := s.perDomain()
	return role{
		name: "Churn",
		note: "What changes of the fleet cost; each row is one kind of event.",
		rows: []row{
			{"VM events: one in the fleet every", arithmetic(1 / s.eventRate()), unitSeconds, 0, "failures and replacements of a day"},
			{"VM event: new view at every daemon", m.at("view/vms", float64(s.Daemons)).scaled(1e-6), unitSeconds, 0, "view rebuilt; the table is shared"},
			{"VM event: clients that change their entry VM", arithmetic(1 / float64(s.Daemons)), unitRatio, 0, "rendezvous: those of the VM itself"},
			{"joins: table from a neighbour, over all daemons", snapshot.scaled(s.eventRate() / float64(s.Daemons)), unitBytesPS, boundTraffic,
				"chunks sent by a neighbour to a joiner, averaged"},
			{"joins: table built from chunks", m.at("decode/blocks", blocks).scaled(1e-3), unitSeconds, 2, "bound: time to serve from cold start"},
			{"site lost: clients moved, to the ideal", m.once("site-loss/once", float64(s.Sites)), unitRatio, 1.1, "1 is the site's own clients only"},
			{"domain lost: entry VMs gone at once", arithmetic(perDomain), unitCount, 0, "one row of the domain, one view"},
			{"domain lost: clients moved", arithmetic(1 / float64(s.Domains)), unitRatio, 0, "to other domains of the region, by weight"},
			{"domain back: table for all its entry VMs", snapshot.scaled(perDomain), unitBytes, 0,
				"from other domains of the region first, then from each other"},
			{"region cut off for an hour: changes missed", arithmetic(s.changeRate() * 3600 * cutOffHours), unitCount, 0,
				"one snapshot of the catalogue; deltas reach back config.MaxHistory changes"},
			{"region cut off for an hour: load on each other region", arithmetic(1 / (float64(s.Regions) - regionLoss)), unitRatio, 0,
				"more than before, if callers reach them; the region itself goes on serving"},
		},
	}
}
