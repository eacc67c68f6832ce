// Package machine distributes the platform's lagging list of machines inside a
// failure domain, so that few daemons of it need a watch. It is pure: events
// and instants in, messages and lists out as data.
//
// # Dissemination
//
// The daemons that read the configuration watch the list as well. Of each new
// version they keep what their domain needs: the targets of the domain and all
// entry VMs. A reader pushes what has changed down a tree over the members of
// its domain; the tree of each reader has other inner nodes, so one dead member
// costs no delivery. For anti-entropy every daemon sends a Digest to another
// member each DigestEvery. A daemon that is behind asks with Want and gets a
// Delta, or the whole list in parts. A joiner asks at once. Content is compared
// by a hash, so a wrong base or a lost part is found and never put in force.
//
// A daemon that gets no message from other members for SilentFor watches the
// platform itself. Without the platform it keeps the list that it has.
//
// # Versions
//
// A lower version of the list is stale, such as from a reader that was paused,
// and is refused. There is one exception: when the platform is restored from
// older data its versions start lower, and a daemon that waited for them to
// rise again would steer by a list that is no longer updated. The list is an
// observation, not a decision, so unlike the configuration it may fall, but
// only after the platform was restored. A reader therefore starts a new Epoch
// when the platform itself has shown it lower versions throughout LowerFor and
// has shown the list in force to no other reader meanwhile, as stated in their
// Digests; or when it shows the version in force with other content. Lists are
// ordered by epoch, then by version.
//
// # Targets missing from a newer list
//
// A target that a newer list doesn't hold stays in the list put in force for
// Grace, so that a wrong or empty list doesn't empty a domain. After a new
// epoch it stays for EpochGrace: the platform's older data lacks the targets
// that are newer than the data, until the platform notices them again. A
// target that was said to be leaving is dropped at once.
package machine
