// Package inbound accepts callers' HTTP connections on nbio and nbhttp's
// parser and hands whole requests to a Handler that must not block.
//
// The package keeps the connection's life in its own hands where the library
// was measured to leave gaps (docs/design/http.md):
//
//   - nbhttp closes a connection without an answer when a message is
//     malformed or too long; here the caller gets 400, 413 or 431 with the
//     verdict not-run first. A message that may have been sent before goes to
//     the Handler, marked as refused, which knows what became of that send.
//   - nbhttp does not tell a handler that its caller has gone; here every
//     Exchange has a callback for it, so that the work behind it is cancelled.
//   - nbhttp sends status 200 for a status code without a standard text; here
//     the status line is written by this package.
//   - nbhttp.Engine.Shutdown closes connections under requests; here Stop
//     waits until the last exchange has been answered and its answer taken.
//
// One connection carries one exchange at a time. Pipelined requests wait in a
// short queue and are answered in order.
package inbound
