// Package load aggregates the load of each service: in the own failure domain
// from its entry VMs' reports, elsewhere as sums of a domain or a region. It
// is pure: events and instants in, reports out as data.
//
// # Ages
//
// Clocks of two machines can't be compared, so a report carries no instants.
// Each set of figures carries its age, the time since it was measured; the
// receiver converts it to an instant on its own clock, and a report that
// forwards figures states their age at that time. The time in transit,
// which nobody can see, is added as Options.Transit at each hop. A sum is as
// old as its oldest part. Figures older than Options.Expire are unknown,
// which is not the same as no load.
//
// # Aggregation
//
// Each VM sends its own figures to the representative that collects from it
// (member.ScopeOwn). Representatives of a domain exchange the sums of their
// groups (ScopePeer), and with other domains of the region and other regions
// the sums of domain and region (ScopeRegion, ScopeFar). Each answer to a VM
// carries the sums of the domain, of the region's domains and in turn of the
// others (ScopeMember). Reports are piggybacked on messages that package member
// sends anyway.
//
// Services and places are named by a 32-bit hash on the wire: a name would
// cost as much as all figures of a service.
package load
