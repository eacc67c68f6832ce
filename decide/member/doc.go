// Package member maintains the membership of the entry VMs: which of them are
// live, leaving or dead. The own failure domain is known VM by VM, every other
// domain as a summary. State is a pure state machine: events in, messages and
// changes out, without a clock or I/O.
//
// # Inside a failure domain
//
// Entry VMs of one domain form a ring, ordered by a hash of their ids. Each VM
// pings its next Options.Monitors live successors every Options.ProbeEvery, so
// a dead VM is pinged within one period whatever the size of the domain. A ping
// to a random member or listed VM every Options.RandomEvery covers VMs that the
// views of other members lack. A ping not answered within Options.DirectTimeout
// is followed by indirect probes through Options.Relays other VMs, which
// distinguish a broken link from a dead VM. The successors of the silent VM are
// pinged as well, so that several adjacent dead VMs are found in the same time
// as one. A VM that no relay reaches is suspected. The suspicion is broadcast
// to every member, the suspect included; a live suspect refutes it by raising
// its refutation count. Otherwise the VM is dead after Options.SuspectFor,
// which every member counts from the same instant, since facts carry their age.
//
// Facts about a VM are ordered by (incarnation, refutations) and then by
// status, so a restart overrides every fact about the earlier process, and a
// refutation overrides every earlier fact. Each ping and each ack carries some
// recent facts and hashes of the sender's tables; two VMs whose hashes keep
// differing exchange their tables.
//
// # Between failure domains
//
// The live VM with the lowest rank is the author of the domain's Row: counts
// of live and leaving VMs and the addresses of at most MaxRowVMs of them. A
// changed row is pushed at once to two representatives of each domain of the
// region and of each other region, which forward it. Each other domain of
// the region, and each other region, is watched by one representative, which
// exchanges hashes of rows with it every Options.WatchEvery. That repairs lost
// pushes; a failed exchange is published as a ReachResult. A domain that gets
// the ReachResult of another one probes at once and uses only its own result,
// so a domain that only some other domains can't reach stays in use elsewhere.
//
// # The platform's list
//
// The platform's list of VMs lags. It and the seeds only name VMs to contact:
// the status of a VM is changed only by a fact from that VM or its domain.
//
// # Bounds
//
// With the defaults a dead VM is first pinged after at most 1 s, suspected
// 0.5 s later and declared dead by its domain 0.8 s after that; the push to
// other regions adds three hops. docs/design/membership.md derives the bounds
// and the cost.
package member
