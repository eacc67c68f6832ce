// Package limit says how many requests may be in flight at once: at a target,
// and at an entry VM elsewhere.
//
// Several entry VMs of a failure domain send to the same targets, and a target
// has only a few slots, so choosing at random would make them collide. Share
// therefore deals out all slots of a service to the entry VMs in turn, as one
// deals cards: each VM computes its own part from the lists that all of them
// see, without a message, and the parts never overlap. A VM whose part is used
// up may borrow slots that the target reports as free (see Borrow); the
// target's refusal is the last word and stops borrowing for a while.
//
// Adaptive lowers a target's limit when it refuses work or slows down and
// raises it again as answers come. Window does the same for forwards to
// another entry VM, whose reports are old when they arrive.
package limit
