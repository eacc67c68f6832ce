// Package load aggregates the load of each service: in the own failure domain
// from the reports of its entry VMs, elsewhere as the sums of a domain or a
// region. It is pure: events and instants go in, reports come out as data.
//
// # Ages
//
// Clocks of two machines can't be compared, so a report carries no instants.
// Each set of figures carries its age, the time since it was measured; the
// receiver converts it to an instant on its own clock, and a report that
// forwards figures states their age at that time. The time in transit can't be
// measured, so Options.Transit is added at each hop. A sum is as old as its
// oldest part. Figures older than Options.Expire are unknown, which is not the
// same as no load.
//
// # Aggregation
//
// Each VM sends its own figures to the representative that collects from it
// (member.ScopeCollector). Representatives of a domain exchange the sums of their
// groups (ScopePeer); with other domains of the region and with other regions
// they exchange the sums of domain and region (ScopeRegion, ScopeOtherRegion). Each
// answer to a VM carries the sums of the domain, of the other domains of the
// region and, in rotation, of the remaining places (ScopeMember). Reports are
// piggybacked on messages that package member sends anyway.
//
// Services and places are identified by a 32-bit hash on the wire: a name
// would take as many bytes as all figures of a service.
package load
