// Package detect detects connections, targets and entry VMs that have gone
// silent, and distinguishes them from slow ones.
//
// A firewall, NAT or load balancer on the path can drop a connection's state:
// packets are discarded without a reset, while new connections to the same
// target are accepted. A target can stop answering without closing its
// connections. An entry VM can die, or a link to it can lose one direction. In
// each case the only symptom is a missing answer. A pause, a cold cache and a
// slow region have the same symptom and must not count as failures: ejecting a
// slow member moves its load onto the rest.
//
// # Groups
//
// One Detector watches one group of siblings that should behave alike: the
// connections to one target, the targets of one service in a failure domain,
// or the peers that send heartbeats. Its caller reports what is sent, heard,
// completed and abandoned, and asks at the instants that Due returns. Silence
// counts only while an answer is owed; an idle connection is never suspected.
//
// # Lag behind siblings
//
// A group has a logical clock that its progress moves. The lag of a member is
// how far the clock has moved since the member's silence began. While nobody
// progresses no lag grows, so a silence common to all raises no suspicion of
// any one of them until a maximum that is plain time.
//
// For heartbeats the clock counts rounds as the fastest peer completes them,
// and a peer is suspected when its lag passes a bound that rises by one with
// each suspicion that proves false, up to a maximum. The rule and the bound
// follow R. Macêdo, "Adaptive Failure Detection in Logical Time: The Eventual
// Relative-Speed Model over Causal Blocks"; the shortest round, which keeps a
// burst of delayed heartbeats from counting as many rounds, is our addition.
//
// For answers, lag in answers measured worse than phi accrual fitted to long
// tails: with many requests a second a single long answer is overtaken by
// hundreds. There the clock counts the time in which the group shows life, and
// a member is suspected when its silence on that clock is improbable.
//
// # What is no silence
//
// A reset or refused connection is an error event, known at once; it needs no
// detector. A member that was replaced is dropped with Forget.
package detect
