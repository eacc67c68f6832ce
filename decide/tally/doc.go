// Package tally aggregates the evidence for the next step of a traffic shift,
// from all entry VMs to the one process that runs the shifts. It is pure:
// events and instants in, messages out as data.
//
// # Who runs the shifts
//
// Candidates ranks the entry VMs that the rows of all reachable domains name,
// by rendezvous hashing. The first one tries for the lease at the platform,
// and the next after it in case the first can't reach the platform. The lease
// decides: if two views differ for a moment, one attempt at the lease fails.
//
// # Aggregation
//
// Every entry VM counts its requests by shift (shift.Counter) and measures its
// services (Meter) in slices of a second, as long as the catalogue in force
// holds a shift that moves. Nothing is sent unasked. The process that holds
// the lease starts a round every Options.RoundEvery: an Ask goes down a tree,
// from it to a head of each domain (in a large fleet to a head of each region,
// which asks the heads of its domains), to leaders of groups and to their
// members. Each answers with a Sum: of its own last window, if it has one of
// the full length, and of the answers below it. Heads and leaders change with
// each round, so a dead one makes only one round incomplete, and the cost is
// shared by all.
//
// Figures that entry VMs send up by their own timers would be as old as the
// periods of all levels together, unless all clocks agreed. Asked for, all
// windows end within one slice plus the transit time of the Ask.
//
// # Ages
//
// A Sum carries ages, as of the arrival of the Ask that it answers. Whoever
// asked counts them from when it sent the Ask, which was earlier. So no figure
// ever seems newer than it is, whatever the transit and the clocks.
//
// # Missing reporters
//
// A Sum says how many live entry VMs there are below it, whether they answered
// or not, and each row of it how many it covers. The difference, over all
// regions, is Missing of the evidence, and the plan holds while it isn't 0. A
// complete round is preferred to later incomplete ones while it is fresh.
// A domain that has been unreachable for Options.LostAfter is not expected to
// report.
package tally
