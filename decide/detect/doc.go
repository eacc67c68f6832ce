// Package detect detects connections, targets and entry VMs that have stopped
// answering, and distinguishes them from slow ones.
//
// A firewall, NAT or load balancer on the path can drop a connection's state:
// packets are discarded without a reset, while new connections to the same
// target are accepted. A target can stop answering without closing its
// connections. An entry VM can crash, or a link to it can fail in one
// direction. In each case the only symptom is a missing answer. A pause, a cold
// cache and a slow region have the same symptom and must not count as failures:
// ejecting a slow member moves its load onto the rest.
//
// # Groups
//
// One Detector watches one group of siblings that should behave alike: the
// connections to one target, the targets of one service in a failure domain,
// or the peers that send heartbeats. Its user reports requests, signs of life,
// complete answers and abandoned requests, and calls Suspect at the instants
// that Due returns. Silence counts only while an answer is owed; an idle
// connection is never suspected.
//
// # Lag behind siblings
//
// A group has a logical clock that advances with the progress of its members.
// The lag of a member is how far the clock has advanced since the member's
// silence began. While no member progresses no lag grows, so if all of them are
// silent none is suspected before a maximum in real time.
//
// For heartbeats the clock counts rounds as the fastest peer completes them,
// and a peer is suspected when its lag exceeds a bound that rises by one with
// each false suspicion, up to a maximum. The rule and the bound follow
// R. Macêdo, "Adaptive Failure Detection in Logical Time: The Eventual
// Relative-Speed Model over Causal Blocks". The minimum length of a round is an
// addition: it keeps a burst of delayed heartbeats from counting as many rounds.
//
// For answers, a lag counted in answers is less accurate than phi accrual fitted
// to long tails: at many requests a second, hundreds of answers overtake a
// single long one. There the clock counts the time in which the group shows signs of
// life, and a member is suspected when its silence on that clock is improbable.
//
// # Errors that need no detector
//
// A reset or refused connection is an error event that is known immediately. A
// member that was replaced is removed with Forget.
package detect
