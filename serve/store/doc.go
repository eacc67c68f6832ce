// Package store keeps the catalogue in the platform's key-value service: it
// writes accepted changes, reads the document for the spread (decide/config),
// and holds duties by lease.
//
// # Document
//
// HeadKey holds one JSON document: the revision, the content hash, the most
// recent operations with the revision that each was given, and the catalogue
// itself, compressed above MaxPlain. What exceeds MaxInline even so is cut into
// chunks under keys of their own, named by revision and hash and never changed;
// the head then refers to them. So every change becomes valid by one compare-and-swap on
// the head, and what a reader puts together is checked against the hash.
//
// # Writes
//
// Writer.Change reads the head, applies the operation, and swaps the head if
// its index is unchanged; a lost swap starts again from the newer head. An
// operation that meets a changed entry is a *change.Conflict and was not run.
//
// A write whose answer was lost may have run. It is settled by reading back:
// the operation's id in the head says that it ran. If the id is absent and the
// head has moved on from the index that the write was conditioned on, it can't
// have run and never will; if the head hasn't moved, the write may still be
// under way, and the same operation is sent again on the same index, so that
// at most one of the two takes effect. When the platform doesn't answer in
// time the error says verdict.MayHaveRun; repeating the call with the same
// operation id is then safe, since an operation in the head isn't run again.
//
// A new revision always exceeds the highest that the daemon has heard of
// (config.State.Base). If the platform came back with older data, the write
// is built on the catalogue in force instead. Revisions follow the wall clock
// in milliseconds, unless counted: then even a writer that has heard nothing
// of the revisions lost doesn't give one of them out a second time.
//
// # Duties
//
// Duty holds a key by a lease, so that one daemon does a periodic job. The
// lease only saves work. A holder that is paused past its lease, wakes and
// writes is stopped by the compare-and-swap on the head and by the entry
// revision that its operation expects.
package store
