// Package tally aggregates the evidence for the next step of a traffic shift,
// from all entry VMs to the one process that runs the shifts. It does no I/O
// and reads no clock: events and instants go in, messages come out as data.
//
// # Choosing the runner
//
// Candidates ranks the entry VMs listed in the rows of all reachable domains
// by rendezvous hashing. The first one tries to acquire the lease at the
// platform, and so does the next one in case the first can't reach the
// platform. The lease decides: if two views differ for a moment, one of the
// two attempts to acquire it fails.
//
// # Aggregation
//
// Every entry VM counts its requests by shift (shift.Counter) and measures its
// services (Meter) in intervals of a second, as long as the catalogue in force
// holds a shift that moves traffic. Figures are sent only on request. The
// process that holds the lease starts a round every Options.RoundEvery: an Ask
// goes down a tree, from the runner to a head of each domain (in a large fleet
// to a head of each region, which asks the heads of its domains), from there
// to group leaders and to their members. Each answers with a Sum that adds its
// own last window, if it has one of the full length, to the answers from
// below. Heads and leaders change with each round, so a dead one makes only
// one round incomplete, and all entry VMs share the cost.
//
// Figures pushed up on each entry VM's own timer would be as old as the
// periods of all levels together, unless all clocks agreed. With requests from
// the top, all windows end within one interval plus the transit time of the
// Ask.
//
// # Ages
//
// A Sum carries ages relative to the arrival of the Ask that it answers. The
// asker subtracts them from the time at which it sent the Ask, which was
// earlier. A figure therefore never appears newer than it is, whatever the
// transit time and the clock offsets.
//
// # Missing reporters
//
// A Sum gives the number of live entry VMs below it, whether they answered or
// not, and each of its rows the number that the row covers. The difference,
// over all regions, is Missing in the evidence, and the plan holds while it
// isn't 0. A complete round is preferred to later incomplete ones while it is
// fresh. A domain that has been unreachable for Options.LostAfter is not
// expected to report.
package tally
