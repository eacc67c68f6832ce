// Package mirror keeps a copy of a part of the metadata store that never returns to an
// older state.
//
// The copy is fed from three sources that may arrive in any order: full reads, which may
// be served from an old replica; watches, whose answers may be delivered late; and other
// entry VMs, which relay what they have while the store refuses this one.
//
// # Within an era
//
// All sources carry the store's revision, which only rises. A source that is older than
// the copy is refused as a whole, so that a configuration or a target that was replaced
// can't reappear.
//
// # Across eras
//
// The store may come back from a copy of an earlier state. Its revisions go back then and
// are given out again, so they order nothing across the return: what is new would be
// refused as old, or be taken for what is already known. Therefore every revision belongs
// to an Era, and positions are ordered by era first.
//
// A new era ends the order, not the knowledge. What was known of a key and differs from
// the store now is either undone in the store only, because its writer has not written it
// again yet, or outdated, because it was changed since the return. The mirror decides for
// each key (holdUntil):
//
//   - The contents tell which is later, whatever the revisions (Rules.Compare), such as
//     the version of a configuration, or the state of a target that leaves: the later one
//     holds.
//   - The store's item was certainly written after the return, as its revision is higher
//     than one that the store has had since, or than the last one known of the key: the
//     store's item holds.
//   - It is the very write that was followed by the end of a process: the process stays
//     gone.
//   - Otherwise the present state is unknown, and what was known holds for some seconds
//     (holdTime), until its writer writes it again. A key that is missing in the store is
//     such a case, not a removal.
//
// What holds against the store is Retained. It is part of what VMs relay, so that a VM
// that starts learns of it too.
package mirror
