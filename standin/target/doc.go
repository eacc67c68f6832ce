// Package target implements a test server that stands in for a target
// (upstream): one machine of one service, with a number of slots, a
// connection limit and faults that can be injected.
//
// A request occupies one slot for a service time drawn from a seeded
// distribution; service times are longer during a cold start. When all slots
// and the queue are full, or the target is leaving, the target refuses the
// request before running it, with status 503 and the header
// "Azurethread-Refused: not-run".
//
// Faults that can be set at run time:
//
//   - Leave: refuses new requests and finishes the accepted ones.
//   - Crash: closes the listener and resets every connection; Restart listens
//     again, with a cold start.
//   - SilenceConnections: existing connections drop everything sent on them in
//     either direction, while new connections work.
//   - CutAnswers: answers end half-way.
//   - RepeatAnswers: answers come a second time.
//   - SetLoadReport, SetHealthReport, SetReportLag: /loadz and /healthz report
//     false or outdated values.
//
// A target keeps records that don't depend on the system under test: how
// often each request ran, the most requests in flight at once, the number of
// connections, and the requests and answers that it cut. Compared with the
// callers' records, they show whether the system keeps its guarantees.
//
// The server uses net/http deliberately; package standin/platform explains why.
package target
