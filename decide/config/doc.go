// Package config distributes catalogue revisions to all daemons and ensures
// that the revision in force at a daemon never decreases.
//
// # Sources of revisions
//
// The platform accepts each revision once, by compare-and-swap. This package
// does not write; a daemon learns of revisions from its own reads of the
// platform, from its own accepted writes and from messages of peers.
//
// # Readers
//
// If every daemon watched the platform, each change would cost one platform
// call per daemon. Instead the live members of a failure domain are ranked by a
// hash of their ids (rendezvous hashing), and the first ReadersPerDomain of them
// watch. A member further down the ranking takes over when heartbeats have shown
// too few successful readers before it for some time. Its waiting time and the
// interval between its attempts grow with its position, so that during an outage
// of the platform not all daemons become readers. Surplus readers only cost
// additional platform calls.
//
// # Dissemination
//
// A daemon that learns of a revision from the platform, from its own write or
// from another failure domain becomes the root of a push: it sends the Delta
// down a tree with fan-out TreeFanOut over the members of its own domain. The
// second reader sends only a Digest down its tree, which has different inner
// nodes. A daemon that still lacks the change UpdateRequestDelay later, because a
// member above it has failed, requests it. Every root also sends a Digest to
// readers of a few randomly chosen other domains. A reader whose domain has lost
// the platform requests the change at once and becomes the root of a push in its
// domain. Changes within MinPushInterval are merged into one Delta.
//
// Every HeartbeatInterval, readers send a Digest (revision, content hash, age of
// the confirmation) down the same tree as their heartbeat. For anti-entropy,
// every daemon also sends a Digest to random peers. A daemon that is behind sends
// an UpdateRequest and receives a Delta or the parts of a Snapshot. The content
// that results from a Delta or Snapshot is checked against its hash before it is
// applied, so a wrong base or a lost part is never applied.
//
// # Revisions never decrease
//
// A revision lower than the one in force is never applied. If the platform has
// been restored from older data, the daemon reports it (PlatformBehind) and
// requests that its newer catalogue be written back (RestorePlatform). Two
// different contents under one revision are reported, and all daemons keep the
// one with the greater hash.
//
// # Age
//
// Each daemon tracks the age of the last successful platform read, its own or
// another daemon's, that confirmed the revision in force. When the age exceeds
// CutOffAfter, the daemon reports that it is cut off and keeps its catalogue.
//
// State is a pure state machine: it has no clock and no I/O, and its only source
// of randomness is its seed.
package config
