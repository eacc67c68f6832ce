// Package config distributes catalogue revisions to every daemon, and keeps the
// revision in force at each of them from falling.
//
// # Where revisions come from
//
// The platform's compare-and-swap accepts each revision once. This package
// never writes; it learns of revisions from three sources: its own reads of
// the platform, its daemon's own accepted writes, and messages of peers.
//
// # Readers
//
// A watch for every daemon would cost the platform one call a daemon and a
// change. Instead the live members of a failure domain are ranked by a hash of
// their ids (rendezvous hashing), and the first ReadersPerDomain watch. A
// member of a later rank takes over when heartbeats have shown too few members
// of better rank reading successfully for some time; how long it waits, and how
// far apart its attempts are, grows with its rank, so that an outage of the
// platform doesn't turn the whole fleet into readers. Two readers too many
// are harmless: they only cost calls.
//
// # Dissemination
//
// A daemon that learns of a revision from the platform, from its own write or
// from another failure domain becomes the root of a push: the Delta goes down a
// tree of fan-out TreeFanOut over the members of its own domain. The second
// reader sends only a Digest down its tree, which has other inner nodes; a
// daemon still without the change WantDelay later, because a member above it is
// dead, asks for it. Every root also sends a Digest to readers of a few other
// domains chosen at random. One whose domain has lost the platform asks at
// once, and becomes a root there. Changes within MinPushInterval are merged
// into one Delta.
//
// Readers send a Digest (revision, content hash, age of the confirmation) down
// the same tree every HeartbeatInterval; it is their heartbeat as readers. For
// anti-entropy every daemon also sends a Digest to random peers. A daemon that
// finds itself behind asks with Want, and gets a Delta or the parts of a
// Snapshot. Every Delta and Snapshot is checked against its content hash after
// it has been put together, so a wrong base or a lost part is never applied.
//
// # Revisions never fall
//
// A revision below the one in force is never applied. A platform that was
// restored from older data is reported (PlatformBehind), and the daemon asks
// for its own newer catalogue to be written back (RestorePlatform). Two
// contents under one revision are reported, and the one with the greater hash
// wins everywhere.
//
// # Age
//
// Each daemon knows the age of the last successful platform read that
// confirmed the revision in force, made by itself or by others. Beyond
// CutOffAfter it says that it is cut off, and keeps what it has.
//
// State is a pure state machine: no clock, no I/O, and randomness only from
// its seed.
package config
