// Package ingress decides what becomes of the requests that one entry VM takes
// on operators' routes: which target gets a request, when it is sent again,
// when it is given up, and what its caller is told.
//
// The package is one reducer. Step takes an event and the instant at which it
// was seen, and writes the effects to a Ready: requests to send, sends to
// cancel, answers to deliver, refusals. Answers and bodies stay with the
// caller of Step; the reducer sees only what decides, such as the status.
//
// # Choice of a target
//
// A target that has handled an object lately handles it several times faster
// but remembers few objects. Every entry VM therefore ranks the targets of a
// service by rendezvous hashing of the object, the same everywhere, and
// considers few of them: the first two of its own region and the first of each
// other region. Among these the one with the earliest expected answer gets the
// request: network, what is in flight there, and the work, which depends on
// whether the object is warm there.
//
// # Bounds that sum over entry VMs
//
// A cold target bears few requests a second, and repeats are bounded for each
// service, over all entry VMs together, whoever is cut off. Neither bound may
// rest on messages between them:
//
//   - A cold target is sent requests by one entry VM, its owner, found by
//     rendezvous hashing over the members. Entry VMs that disagree about the
//     members name two owners at most in practice, so an owner keeps to half of
//     the bound.
//   - Repeats are paid out of a bucket that starts empty, earns a fixed share
//     of a token for each request taken, and holds this VM's part of the fixed
//     allowance at most. The parts sum below the bound for any subset of the
//     entry VMs, also right after all of them were restarted.
//
// # What callers are told
//
// Every refusal carries the joined verdict of all sends. Not-run is said only
// where each of them was refused explicitly or never left this VM.
package ingress
