// Package platform implements a test server that stands in for the platform's
// key-value service and its machine list, for tests and the demo.
//
// A Server keeps all data in memory. It implements the protocol that
// serve/platform documents, over HTTP at one or more endpoints, and in process
// through Store. It can simulate these faults of the real service at run time:
//
//   - SetOutage: an endpoint refuses connections, or accepts them and never
//     answers. The outage of a single endpoint simulates a failure domain that
//     can't reach the service.
//   - SetDelay: every call is delayed before and after it takes effect.
//   - LoseAnswers: a write takes effect, and the connection is cut before its
//     answer.
//   - Snapshot and Restore: the service returns to older data and reuses the
//     indexes of the writes that it lost.
//   - SetMachineLag: changes to the machine list become visible after a delay.
//
// Leases expire by the clock given in Options. A test that advances this clock
// calls ApplyDue to apply expired leases and due machine lists.
//
// The server uses net/http deliberately: it shares no code with the nbhttp
// engine of the daemon under test, so a fault in one can't hide a fault in the
// other.
package platform
