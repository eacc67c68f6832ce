// Package caller is a stand-in for the callers of the system: a client that
// caches look-ups, and an open-loop load.
//
// # The caller's part
//
// A Caller acts for one client address. It asks an entry VM which entry VMs to
// use for a service, keeps the answer for its time to live, and sends each
// request to the first of them, with the deadline that remains. What follows
// depends on the verdict of the answer:
//
//   - ran: the request is over.
//   - not-run: it is sent again to the next entry VM, non-idempotent requests
//     with a new token, after the pause that the answer asks for.
//   - may-have-run, which is also the reading of a lost connection, of a cut
//     answer and of a timeout: an idempotent request is sent again, twice at
//     most. A non-idempotent one is not, unless Options.ResendLost is set:
//     then it is sent once more, to the same entry VM and with the same token,
//     which must keep it from running twice.
//
// A connection that could not be opened is not-run.
//
// # Records
//
// The load counts by what the caller itself saw, and keeps the outcome of
// every request. Prove compares these with the targets' own records of what
// ran. Nothing of it comes from the system under test.
//
// Latency is measured from the planned arrival of a request, not from its
// sending, so a stall of the system shows in full.
package caller
