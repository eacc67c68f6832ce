// Package quarantine tells requests that end the targets that run them, queries
// of death, from others, and says which are to be kept away from targets.
//
// A request is known by the Fingerprint of its content, as each attempt of its
// caller has an id of its own and comes to any entry VM.
//
// # What convicts and what clears
//
// A Record lists the starts of targets that ended while a request with its
// fingerprint was under way there. Whatever else ran at those targets is listed
// as well. What tells them apart: a query of death is never answered. So a whole
// answer clears all ends that are known by then, and MaxEnds of them without an
// answer put the fingerprint into quarantine.
//
// Ends are counted by the start of a target, not by the request, so it does not
// matter how many attempts were there, nor how many entry VMs have seen it.
//
// # Merging
//
// Records are exchanged between entry VMs and kept in the store. Ended and
// Cleared only grow within a round, and a later round replaces an earlier one, so
// records merge in any order and any number of times to the same result. An end
// that is heard of after it was cleared stays cleared.
//
// # The end of a quarantine
//
// Now and then one request is let through as a trial, by one entry VM of the
// fleet. An answer clears the fingerprint; another end keeps it away for longer.
// Trials are few and counted in the record: each one may cost a target.
package quarantine
