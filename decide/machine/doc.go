// Package machine distributes the platform's list of machines, which lags,
// inside a failure domain, so that only a few daemons of the domain need to
// watch the platform. State is a pure state machine: events and instants in,
// messages and lists out, without a clock or I/O.
//
// # Dissemination
//
// The daemons that read the configuration, the readers, watch the list as
// well. Of each new version they keep what their domain needs: the targets of
// the domain and all entry VMs. A reader pushes the changes down a tree over
// the members of its domain. The trees of different readers have different
// inner members, so one dead member doesn't prevent a delivery. For
// anti-entropy every daemon sends a Digest to another member each DigestEvery.
// A daemon that is behind sends a Want and gets a Delta, or the whole list in
// parts. A daemon that joins sends a Want at once. A hash of the content
// detects a wrong base or a damaged part, so that a wrong list is never put in
// force.
//
// A daemon that gets no message from other members for SilenceTimeout watches
// the platform itself. If the platform is unavailable, it keeps its list.
//
// # Versions
//
// A lower version of the list is stale, for example from a reader that was
// paused, and is refused. There is one exception: when the platform is restored
// from older data, its versions start lower, and a daemon that waited for them
// to rise again would use a list that is no longer updated. The list is an
// observation, not a decision, so unlike the configuration its version may
// decrease, but only after the platform was restored. A reader therefore starts
// a new epoch in two cases: when the platform has shown it lower versions
// throughout LowerVersionFor and meanwhile has not shown the list in force to
// any other reader, as stated in their Digests; or when the platform shows the
// version in force with different content. Lists are ordered by epoch, then by
// version.
//
// # Targets missing from a newer list
//
// A target that is missing from a newer list stays in the list put in force for
// TargetGrace, so that a wrong or empty list doesn't leave a domain without
// targets. After a new epoch it stays for NewEpochGrace: the platform's older
// data lacks targets that are newer than the data until the platform detects
// them again. A target that was listed as leaving is dropped at once.
package machine
