// Package steer answers look-ups: which entry VMs a client's caller should
// use, in which order, and for how long.
//
// # The decision
//
// A View is an immutable snapshot of client blocks, entry VMs, weights and
// traffic shifts. A daemon builds a new one whenever one of these changes and
// replaces the old one atomically; look-ups take no lock.
//
// A look-up finds the client's block and its home region. A traffic shift may
// move the block to another region. Inside the region the block is placed by
// weighted rendezvous hashing: every entry VM has a score, the hash of block
// and VM, and the highest score of each failure domain is scaled by the
// domain's weight. A client moves only when the VM it uses is gone, when a VM
// with a higher score is added, or when its domain's weight falls; all other
// clients stay, so their caches stay warm and the rest of the answer is
// unchanged. Domains that the block prefers come first: a domain of weight w
// (0 to 1) keeps the share w of the blocks that prefer it, always the same
// ones, and the others are placed by score.
//
// The entry VMs of an answer span at least two failure domains wherever two
// have live entry VMs. If the home region has fewer, the others come from the
// region that rendezvous hashing over the regions' weights selects, so the
// clients of a lost region spread over all others in proportion to their
// weights.
//
// # Weights change slowly
//
// Load reports lag, and callers keep an answer until its time to live ends.
// Weights that followed each report at once would move load before the effect
// of the last move could be measured, and the domains would overshoot in turn.
// Damper therefore derives weights from headroom reports in bounded steps,
// ignores small differences, and takes the next step only on a report measured
// after the last step could have taken effect.
package steer
