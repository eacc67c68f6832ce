// Package caller implements a test client that stands in for the callers of
// the system. It caches look-ups and can generate an open-loop load.
//
// # Sending requests
//
// A Caller acts for one client address. It looks up the entry VMs of a
// service, caches the answer for its TTL, and sends each request to the first
// entry VM with the remaining deadline. The next step depends on the verdict
// of the answer:
//
//   - ran: the request is complete.
//   - not-run: the request is sent to the next entry VM after the delay that
//     the answer asks for. A non-idempotent request gets a new token.
//   - may-have-run: an idempotent request is sent again, at most twice. A
//     non-idempotent one is sent again only if Options.ResendLost is set: once,
//     to the same entry VM and with the same token, which must prevent a second
//     execution. A lost connection, a cut answer and a timeout also count as
//     may-have-run.
//
// A connection that can't be opened counts as not-run.
//
// # Records
//
// The load counts results as the callers see them and keeps the outcome of
// every request. Audit compares the outcomes with the targets' records of
// executions. Neither record depends on the system under test.
//
// Latency is measured from the planned arrival of a request, not from its
// sending, so that it includes all of a stall of the system.
package caller
