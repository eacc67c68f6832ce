// Package inbound accepts callers' HTTP connections with nbio and nbhttp's
// parser, and hands complete requests to a Handler that must not block.
//
// The package manages connections itself where measurements showed gaps in the
// library (docs/design/http.md):
//
//   - nbhttp closes a connection without an answer when a message is malformed
//     or too long. Here the caller first gets 400, 413 or 431 with the verdict
//     not-run. A message that may be a repeat of an earlier one goes to the
//     Handler instead, marked as refused, because the Handler knows the outcome
//     of the earlier send.
//   - nbhttp does not tell a handler that its caller has disconnected. Here
//     every Exchange has a callback for it, so that work for the caller can be
//     cancelled.
//   - nbhttp sends status 200 for a status code without a standard text. Here
//     the status line is written by this package.
//   - nbio's read and write deadlines close a connection without a look at what is
//     in flight. Here a connection has deadlines of its own.
//   - nbhttp.Engine.Shutdown closes connections with requests in flight. Here
//     Stop waits until the last exchange has been answered and the caller has
//     received the answer.
//
// A connection is open, then takes no further request, then is closed. It passes a
// request on only while it is open, and changes its phase under the same lock as it
// passes requests on: whoever decides to close it (a timeout, a stop, a refusal, the
// last answer) finds the request in flight, or the request is not passed on. A planned
// stop answers every request that was received before, and lets the caller take its
// last answer.
//
// A connection carries one exchange at a time, unless Options.Overlaps allows
// pipelined requests to be served concurrently. Other pipelined requests wait
// in a short queue. Answers are always sent in the order of the requests.
package inbound
