// Package member keeps the membership of entry VMs: which are live, leaving
// or dead, in the own failure domain in detail and in every other domain as
// an aggregate. It is a pure state machine: events in, messages and changes
// out, no clock, no I/O.
//
// # Inside a failure domain
//
// Entry VMs of one domain form a ring, ordered by a hash of their ids. Each VM
// pings its next Options.Monitors live successors every Options.ProbeEvery, so
// a dead VM is pinged within one period whatever the size of the domain; a ping
// to a random member or listed VM every Options.RandomEvery finds what
// differing views leave out. A ping without an answer in Options.DirectTimeout
// is repeated through Options.Relays other VMs, which distinguishes a broken
// link from a dead VM. The successors behind the silent VM are pinged as well,
// so that a run of dead neighbours takes no longer. A VM that no relay reaches
// is suspected. The suspicion is broadcast to every member, the suspect
// included; a live suspect refutes it by raising its refutation count.
// Otherwise it is dead after Options.SuspectFor, counted by each member from
// the same instant, since facts carry their age.
//
// Facts about a VM are ordered by (incarnation, refutations) and then by
// status, so a restart overrides everything said about the earlier process
// and nothing said earlier overrides a refutation. Each ping and each answer
// carries some recent facts and a hash of the table; two VMs whose hashes
// stay apart exchange their tables.
//
// # Between failure domains
//
// The live VM with the lowest rank is the author of the domain's Row: counts
// of live and leaving VMs and the addresses of at most RowVMs of them. A
// changed row is pushed at once to two representatives of each domain of the
// region and of each other region, which forward it. Each other domain of
// the region, and each other region, is watched by one representative, which
// exchanges row versions with it every Options.WatchEvery; that repairs lost
// pushes, and its failure is published as a Reach. Another domain that gets
// the Reach probes at once and uses only its own result, so a domain that
// only its neighbours can't reach stays in use elsewhere.
//
// # The platform's list
//
// The lagging list and the seeds name VMs to contact. They don't change
// any VM's status: only a fact of the VM itself or of its domain does.
//
// # Bounds
//
// With the defaults a dead VM is found in at most 1 s, suspected 0.5 s later
// and dropped by its domain 0.8 s after that; the push to other regions adds
// three hops. See docs/design/membership.md for the arithmetic and the cost.
package member
