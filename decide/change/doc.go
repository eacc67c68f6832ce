// Package change applies operators' and the shift runner's operations to a
// catalogue.
//
// An Operation states a change and the entry revision on which it is based.
// Apply is a pure function of the newest catalogue and one operation: it
// returns a new catalogue at the next revision and doesn't modify the given
// one. The result is stored by compare-and-swap on the catalogue revision. If
// the swap fails, the newest catalogue is read and the same operation applied
// again. Two operators who change different entries therefore both succeed. If
// they change the same entry, the second one's expected revision no longer
// matches, and it gets a *Conflict with both versions.
//
// # Life cycle of a traffic shift
//
//	draft -> approved -> running <-> paused
//	                     running -> done
//	running, paused, done -> rolled-back
//
// The content (owner, class, service, regions, limits) can be changed only while
// the shift moves no traffic. A change returns the entry to draft and clears its
// approval, so that a shift always runs as it was approved; a rolled-back entry
// is reused in the same way. Approval by the author is refused if the class
// requires a second operator.
//
// Pause and RollBack only lower the risk, and the runner's steps raise the
// entry's revision every few seconds. With Expect zero these two therefore
// apply to any revision. All other operations must state the current one.
//
// # Errors
//
// *Invalid lists every invalid field; *Conflict reports that the entry was
// changed concurrently; *Refused reports a valid operation that the entry's
// state or limits forbid.
package change
