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
// but remembers few objects, and works on few requests at once. So one entry VM
// of a region, the coordinator of a service, places all requests for it: it
// knows every request in flight at the region's targets and where objects are
// warm. Other entry VMs ask it for a target (Ask, Grant, Deny), send the request
// themselves, and report its end. While a coordinator is silent the next VM in
// line stands in for it (placer); the request that has found it silent is placed
// by what its entry VM knows itself.
//
// Considered are the targets at which the object is warm, the first two of the
// region by rendezvous hashing of the object, the first of the other regions and
// of the caller's failure domain. Among these the one with the earliest
// expected answer gets the request: network, what is in flight there, and the
// work, which depends on whether the object is warm there. Latency is learned by
// route, as routes to one service may ask for very different work. A warm
// object is worth a wait at its target, a cold start is not (queueAt). Which
// part of the requests runs in other regions changes slowly (regionShare), and
// objects stay where they are warm as long as that allows it.
//
// The entry VM that has the request sends it, to a target of another region by
// way of an entry VM near that target (gatewayTo). Such a gateway decides nothing
// but the end of what it carries (Carry).
//
// A choice costs the same however many targets and entry VMs there are: what it
// needs is kept for each object (object), service (crowd) and list of entry VMs,
// and brought up to date by the event that changes it. Check holds what is kept
// against what it is derived from.
//
// # Bounds that sum over entry VMs
//
// A cold target bears few requests a second, another one names the rate that it
// takes, and repeats are bounded for each service, over all entry VMs together,
// whoever is cut off. None of these bounds may rest on messages between them:
//
//   - A cold target gets requests through one entry VM, the coordinator for its
//     service in its region. Entry VMs that disagree about the members name two
//     coordinators at most in practice, so each keeps to half of the bound.
//   - A target that names a rate limit gets requests through the same VM, which
//     keeps to half of what operators allow beyond it (rateLimit).
//   - Repeats are paid out of a bucket that starts empty, earns a fixed share
//     of a token for each request taken, and holds this VM's part of the fixed
//     allowance at most. The parts sum below the bound for any subset of the
//     entry VMs, also right after all of them were restarted.
//
// # Requests that end targets
//
// A request may end each target that runs it, and comes again at any entry VM.
// Package quarantine counts the ends by the content of requests; here they are
// proved (Probe, ended), told to the VMs that count them and then to all
// (announce), and acted upon: a request whose content is in quarantine is refused
// on arrival (keptAway), and one that may be deadly goes where the fewest others
// run (leastBusy).
//
// # What callers are told
//
// Every refusal carries the joined verdict of all sends. Not-run is said only
// where each of them was refused explicitly or never left this VM.
package ingress
