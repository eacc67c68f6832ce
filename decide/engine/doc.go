// Package engine is the reducer of an entry VM: the daemon passes every event
// to Step, which updates the state and returns the effects as data.
//
// The engine combines the other decision packages and handles what involves
// more than one of them:
//
//   - A request's one-time token is admitted before the request is dispatched
//     and settled when the request is answered.
//   - A new configuration updates services, shifts and look-ups together.
//   - A membership change determines which VMs share a domain's targets, which
//     VMs can be forwarded to, and which VMs look-ups return.
//
// Step reads no clock, opens no connection and starts no goroutine. It is not
// safe for concurrent use; the daemon serialises the calls.
package engine
