// Package platform is a stand-in for the platform's key-value service and its
// lagging list of machines, for tests and the demo.
//
// A Server keeps everything in memory and answers the protocol that
// serve/platform documents, over HTTP at one or more endpoints and in process
// through Store. Switches that can be set at run time bring about what the
// real service does at its worst:
//
//   - SetOutage: an endpoint refuses connections, or accepts them and never
//     answers; a failure domain that is cut off from the service is one
//     endpoint's outage.
//   - SetDelay: every call takes longer, before or after it takes effect.
//   - LoseAnswers: a write takes effect, and the connection is cut before its
//     answer.
//   - Snapshot and Restore: the service comes back with older data, and gives
//     out again the indexes that it had given to the writes it lost.
//   - SetMachineLag: a change to the machine list shows only after a while.
//
// Leases lapse on the clock given in Options. With a clock that a test
// advances by hand, Tick puts into effect what has become due.
//
// The server is net/http's on purpose: it shares no code with the nbhttp
// engine of the daemon under test, so a fault in the one can't cancel out a
// fault in the other.
package platform
