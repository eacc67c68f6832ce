// Package shift decides how traffic shifts advance, and which clients they
// move.
//
// # Which clients move
//
// Every block of clients has a position in each shift: the hash of the block,
// salted with the shift's id, scaled to 0..ShareUnit-1. A shift moves the
// blocks whose position lies below its share. A growing share only adds
// blocks, so caches warmed for the earlier ones stay useful. Table answers the
// question for look-ups. Where several shifts leave one region, a block taken
// by two goes with the lower id; each still moves at most its share. A block
// is moved once: a shift away from the receiver doesn't move it on.
//
// # How a shift advances
//
// Plan is a pure function: limits, the share of now, and evidence give one
// Decision. It advances only on proof that the receiver absorbed the last
// step: figures of every receiver and service, complete, no older than MaxAge,
// whose window began after the step had had time to take effect (Settle). A
// step takes the largest share that fits and says what stopped it. A shift
// that can't advance holds and says why. Errors over the bound, sustained, roll
// it back; a failing receiver makes it recede. Both move back at a bounded
// pace into what the sender can bear, since the sender may be overloaded as
// easily as the receiver.
//
// # The cap holds on the count
//
// A hash splits blocks evenly, not requests: one busy block can carry a third
// of a region's traffic. So entry VMs count requests by position (Counter),
// those that have not moved yet included. What a step would move is thereby
// measured before it is taken. A step is refused if the counted share it would
// give, plus a margin for sampling, is over the cap; a counted share over the
// cap lowers the share. Between two counts the mix of traffic may change; Gate
// bounds that at every look-up, from local counts alone.
//
// # Who advances it
//
// Runner is a state machine around Plan for all shifts: events in, effects
// out. Its Write effects carry the entry's revision that the plan was based
// on, and the driver writes by compare-and-swap on it. The lease (Duty) only
// avoids wasted work: a holder that was paused and lost its lease fails its
// write. While a write's outcome is unknown, no other is made for that shift.
// Without the platform every shift stays where it is.
//
// Shifts into one region share its headroom. A step that has been taken, or is
// being written, but doesn't show in the receiver's figures yet, is reserved
// at its full expected load. Shifts are planned in the order of their ids.
package shift
