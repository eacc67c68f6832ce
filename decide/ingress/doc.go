// Package ingress decides how the requests received by one entry VM are handled:
// which target gets a request, when it is sent again, when it is given up, and
// which answer its caller gets.
//
// The package is a single deterministic reducer. Step takes an event and the time
// at which it was observed, and writes the resulting effects to a Ready: requests
// to send, sends to cancel, answers to deliver, refusals. Answers and bodies stay
// with the caller of Step; the reducer sees only what affects a decision, such as
// the status.
//
// # Choice of a target
//
// A target that handled an object recently handles it several times faster, but
// remembers few objects and runs few requests at once. Therefore one entry VM of a
// region, the coordinator of a service, places all requests for that service: it
// knows every request in flight at the region's targets and where objects are
// warm. Other entry VMs ask it for a target (PlacementRequest, Grant, Deny), send
// the request themselves and report the result. While a coordinator is silent, the
// next VM in the order of coordinators acts as its standby (activeCoordinator);
// the request that found the coordinator silent is placed with the knowledge of
// its own entry VM.
//
// The candidates are the targets at which the object is warm, the first two of the
// region by rendezvous hashing of the object, and the first of the other regions
// and of the caller's failure domain. The candidate with the earliest expected
// answer gets the request. The estimate covers the network, the requests in flight
// at the target, and the work, which depends on whether the object is warm there.
// Latency is measured per route, because routes to the same service may do very
// different work. A warm object is worth waiting for at its target, a cold start
// is not (queueLimit). The share of requests that run in other regions changes
// slowly (regionShare), and objects stay where they are warm as long as the share
// allows it. A region that is short of slots runs nearly all its requests elsewhere, or
// hardly any (restingShare).
//
// The entry VM that received the request sends it, to a target of another region
// through an entry VM near that target (gatewayTo). Such a gateway only sends the
// request once and returns the result (ForwardRequest). An entry VM that reaches no
// target itself (links) sends all its requests through gateways.
//
// What is known of an instance of a target outlives its registration for some time
// (removedTargets): a registration may lapse and return while the instance serves.
//
// The cost of a choice does not depend on the number of targets and entry VMs: the
// required data is cached for each object (object), service (occupancy) and list
// of entry VMs, and updated by the event that changes it. Check compares the
// cached data with its source.
//
// # Limits across entry VMs
//
// A cold target takes few requests per second, a target may announce a rate limit,
// and retries are limited per service. These limits apply to all entry VMs
// together, also while some of them are cut off, so none of them may depend on
// messages between entry VMs:
//
//   - A cold target gets requests through one entry VM, the coordinator for its
//     service in its region. Entry VMs that disagree about the members choose at
//     most two coordinators in practice, so each uses half of the limit.
//   - A target with a rate limit gets requests through the same VM, which uses
//     half of the operators' allowance, which exceeds the limit (rateLimit). A VM that
//     knows the limit sends no request that was placed without regard to it.
//   - Retries are paid from a token bucket that starts empty, earns a fixed
//     fraction of a token for each accepted request, and holds at most this VM's
//     part of the fixed allowance. The parts add up to less than the limit for any
//     subset of the entry VMs, also right after all of them were restarted.
//
// # Notices of targets
//
// A target may state in any answer that it is leaving, or for how long it wants no
// request (package notice). The VM that received the answer is bound, so the VM that
// sends checks its own knowledge last, and returns what a coordinator without that
// knowledge has granted. Coordinators are told at once, and spare the target for all.
//
// # Requests that crash targets
//
// A request may crash every target that runs it, and may arrive again at any entry
// VM. Package quarantine counts the crashes by the content of requests. This
// package verifies them (Probe, markTerminated), reports them to the VMs that
// count them and then to all VMs (announce), and acts on the result: a request
// whose content is in quarantine is refused on arrival (quarantineDelay), and one
// that may crash its target is sent to the target that runs the fewest others
// (leastBusy).
//
// # Short of slots
//
// With Options.Admission, requests that wait for a slot are served by class and by fair
// shares of their client accounts, and one that would wait in vain is refused on arrival
// (package admission). A target that states its pace is expected to take longer while its
// machine is busy (package pace). With Options.Hedge, an idempotent request whose answer is
// slow for its class is sent to a second target, within a limit (package hedge).
//
// # Refusals
//
// Every refusal carries the joined verdict of all sends. The verdict is not-run
// only if every send was refused explicitly or never left this VM.
package ingress
