// Package quarantine finds queries of death, requests that crash the targets
// that run them, and puts them into quarantine, which keeps them away from
// targets.
//
// A request is identified by the Fingerprint of its content, because each
// attempt of its caller has an id of its own and may arrive at any entry VM.
//
// # Evidence
//
// An End is the unplanned end of a target's process while a request was in
// flight there; a Start identifies the process. A Record lists the ends for one
// fingerprint. All other requests in flight at the target get a record too. The
// difference is that a query of death is never answered. So a complete answer
// clears all ends known by then, and several ends in a row without an answer put
// the fingerprint into quarantine.
//
// Ends are counted per process, not per request, so the count does not depend
// on how many attempts were in flight there or how many entry VMs observed the
// end.
//
// # Merging
//
// Records are exchanged between entry VMs and kept in the store. Ended and
// Cleared only grow within a round, and a later round replaces an earlier one,
// so records merge to the same result in any order and any number of times. An
// end that is reported after it was cleared stays cleared.
//
// # Trials
//
// From time to time, one entry VM of the fleet lets one request of a
// quarantined fingerprint through as a trial. An answer clears the
// fingerprint; another end prolongs the quarantine. Trials are few and counted
// in the record, because each one may crash a target.
package quarantine
