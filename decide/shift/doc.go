// Package shift decides how traffic shifts advance, and which clients they
// move. The region that a shift moves traffic out of is its sender; a region
// that it moves traffic into is a receiver.
//
// # Which clients move
//
// Every client block has a position in each shift: the hash of the block,
// salted with the shift's id, scaled to 0..ShareUnit-1. A shift moves the
// blocks whose position lies below its share. A growing share only adds blocks,
// so caches warmed for the earlier ones stay useful. Look-ups use Table. Where
// several shifts leave one region and two of them select the same block, the
// shift with the lower id moves it; each still moves at most its share. A block
// is moved at most once: a shift that leaves the receiver doesn't move it
// again.
//
// # How a shift advances
//
// Plan is a pure function of the limits, the present share and the evidence; it
// returns one Decision. A shift advances only on proof that the receiver
// absorbed the last step: figures of every receiver and service that are
// complete, no older than MaxAge, and measured in a window that began after the
// step had time to take effect (Settle). A step takes the largest share that
// the limits allow, and its reason names the limit. A shift that can't advance
// holds, with a reason. Sustained errors over the bound roll it back. If a
// receiver fails, the shift recedes: its share falls, and it can advance later.
// Both lower the share at a bounded rate and only as far as the sender has
// capacity, since the sender can be overloaded as easily as the receiver.
//
// # The cap applies to counted requests
//
// A hash splits blocks evenly, not requests: one busy block can carry a third
// of a region's traffic. Entry VMs therefore count requests by position
// (Counter), including those that have not moved yet, so the effect of a step
// is known before it is taken. A step is not taken if the counted share after
// it, plus a sampling margin, would exceed the cap. If the counted share is
// over the cap already, the share is lowered. Between two counts the mix of
// traffic may change; Gate bounds the effect at every look-up, from local
// counts alone.
//
// # The runner
//
// Runner is a state machine around Plan for all shifts: it takes events and
// returns effects, which its driver executes. A Write effect carries the entry
// revision that the plan was based on, and the driver writes by
// compare-and-swap on it. The lease is not needed for correctness, it only
// avoids wasted work: the write of a holder that was paused and lost its lease
// fails. While a write's outcome is unknown, no other write is made for that
// shift. While the platform is unreachable, every share stays unchanged.
//
// Shifts into one region share its headroom. A step that has been taken or is
// being written, but isn't visible in the receiver's figures yet, reserves its
// full expected load. Shifts are planned in the order of their ids.
package shift
