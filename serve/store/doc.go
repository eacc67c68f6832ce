// Package store keeps the catalogue in the platform's key-value service. It
// writes accepted changes, reads the document for distribution (decide/config),
// and holds duties by lease.
//
// # Document
//
// HeadKey holds one JSON document: the revision, the content hash, the most
// recent operations with the revision that each was given, and the catalogue
// itself, compressed above MaxPlain. A compressed catalogue above MaxInline is
// split into chunks under keys of their own, which are named by revision and
// hash and never changed; the head then refers to them. So every change takes
// effect by one compare-and-swap on the head, and a reader verifies the
// assembled catalogue by the hash.
//
// # Writes
//
// Writer.Change reads the head, applies the operation, and swaps the head if
// its index is unchanged; after a lost swap it starts again from the newer
// head. An operation that meets a changed entry fails with *change.Conflict and
// was not run.
//
// A write whose answer was lost may have run. Reading back settles it: if the
// head lists the operation's id, it ran. If the id is absent and the head has
// moved on from the index that the write was conditioned on, the write has not
// run and never will. If the head has not moved, the write may still be in
// progress, and the same operation is sent again on the same index, so that at
// most one of the two takes effect. When the platform does not answer in time,
// the error says verdict.MayHaveRun; repeating the call with the same operation
// id is then safe, since an operation listed in the head is not run again.
//
// A new revision is always higher than every revision that the daemon knows of
// (config.State.Base). If the platform came back with older data, the write is
// built on the catalogue in force instead. Revisions follow the wall clock in
// milliseconds unless WriterOptions.CountedRevisions is set, so that even a
// writer that knows nothing of lost revisions does not reuse one.
//
// # Duties
//
// Duty holds a key by a lease, so that one daemon does a periodic job. The
// lease only avoids duplicate work. A holder that is paused past its lease,
// resumes and writes is stopped by the compare-and-swap on the head and by the
// entry revision that its operation expects.
package store
