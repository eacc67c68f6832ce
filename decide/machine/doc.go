// Package machine spreads the platform's lagging list of machines inside a
// failure domain, so that not every daemon watches it. It is pure: events and
// instants in, messages and lists out as data.
//
// # The way of a list
//
// The daemons that read the configuration watch the list as well. Of each new
// version they keep what their domain needs: the targets of the domain and all
// entry VMs. A reader pushes what has changed down a tree over the members of
// its domain; the tree of each reader has other inner nodes, so one dead member
// costs no delivery. Every daemon sends a Digest to a random member now and
// then. Whoever finds itself behind asks with Want and gets a Delta, or the
// whole list in parts. A joiner asks at once. Content is compared by a hash, so
// a wrong base or a lost part is found and never put in force.
//
// A daemon that hears of no list from anybody for long watches the platform
// itself. One that has neither keeps the list that it has.
//
// # Versions
//
// A lower version of the list is older news, such as from a reader that was
// paused, and is not taken. That can't hold for ever: when the platform comes
// back with older data its versions start lower, and a daemon that waited for
// them to rise again would steer by a list that no machine updates any more.
// The list is an observation, not a decision, so unlike the configuration it
// may go back; what must not happen is that it goes back by accident.
// A reader therefore starts a new Epoch when the platform itself has shown it
// a lower version again and again for LowerFor, and has shown what is in force
// to nobody else meanwhile, as the Digests tell; or when it shows the version
// that is held with other content. Lists are ordered by epoch, then by version.
//
// # Targets that vanish
//
// A target that a newer list doesn't hold stays in the list put in force for
// Grace, so that a wrong or empty list doesn't empty a domain. After a new
// epoch it stays for EpochGrace: the platform's older data lacks the targets
// that are newer than the data, until the platform notices them again. A
// target that was said to be leaving is dropped at once.
package machine
