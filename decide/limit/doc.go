// Package limit determines how many requests may be in flight at once, at a
// target and at another entry VM.
//
// Several entry VMs of a failure domain send to the same targets, and a target
// has only a few slots, so random choice would make them collide. Share
// therefore assigns all slots of a service to the entry VMs round-robin: each
// VM computes its part from the lists that all of them see, without exchanging
// messages, and the parts never overlap. A VM that has used up its part may
// borrow slots that the target reports as free (see Borrow); a refusal by the
// target overrides its report and stops borrowing for a while.
//
// Adaptive lowers a target's limit when it refuses work or slows down and
// raises it again with each answer. Window does the same for requests
// forwarded to another entry VM, whose reports are old when they arrive.
package limit
