// Package change applies operators' and the shift runner's operations to a
// catalogue.
//
// An Operation names what is to change and the entry revision it was based
// on. Apply is a pure function of the newest catalogue and one operation: it
// returns a new catalogue at the next revision and leaves the given one as it
// was. Whoever stores the result does so by compare-and-swap on the catalogue
// revision, and on a lost swap reads the newest catalogue and applies the same
// operation again. Two operators on different entries therefore both succeed.
// Two on the same entry do not: the second finds that the entry's revision is
// no longer the one it expects, and gets a *Conflict with both versions.
//
// # Life cycle of a traffic shift
//
//	draft -> approved -> running <-> paused
//	                     running -> done
//	running, paused, done -> rolled-back
//
// Content (owner, class, service, regions, limits) changes only while no
// traffic is moved. A change returns the entry to draft and clears its
// approval, so that what runs is always what was approved; a rolled-back
// entry is used again in the same way. Approval by the author is refused where
// the class asks for a second operator.
//
// Pause and RollBack only lower risk, and the runner's own steps raise the
// entry's revision every few seconds; with Expect zero these two apply to
// whatever version they find. All other operations must match.
//
// # Errors
//
// *Invalid lists every field that is wrong; *Conflict is a lost race; *Refused
// is a well-formed operation that the entry's state or limits forbid.
package change
