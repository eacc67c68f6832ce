// Package target is a stand-in for a target (upstream): one machine of one
// service, with its slots, its connection limit and its ways of failing.
//
// A request occupies one of the slots for a service time drawn from a seeded
// distribution, longer while the target is cold. When all slots and the small
// queue behind them are taken, or the target is leaving, it refuses with 503
// and the header "Azurethread-Refused: not-run", before running anything.
//
// Faults, settable at run time:
//
//   - Leave: refuses new work and finishes the rest.
//   - Crash: closes the listener and resets every connection; Restart opens it
//     again, cold.
//   - SilenceConnections: existing connections lose everything sent on them in
//     either direction, while new connections work.
//   - CutAnswers: answers end half-way.
//   - SetLoadReport, SetHealthReport, SetReportLag: /loadz and /healthz lie or
//     lag.
//
// A target keeps records that don't depend on the system under test: how
// often each request ran, how many requests were in it at once, how many
// connections it had, and what it cut off. Together with the caller's record
// they prove or disprove the promises.
//
// The server is net/http's on purpose; see package standin/platform.
package target
