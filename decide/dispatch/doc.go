// Package dispatch decides what an entry VM does with each request: which
// target of its own failure domain receives it, whether it waits in a queue, is
// forwarded to another entry VM or is refused, and what happens when an attempt
// fails.
//
// State is a deterministic reducer. Step takes an event and the current time
// and appends the resulting effects to a Ready. It reads no clock, does no I/O,
// does not depend on the iteration order of maps, and draws random numbers from
// its own seeded generator. The same events therefore give the same effects;
// the sessions in testdata record this.
//
// # Life of a request
//
// Arrive accepts or refuses a request. An accepted request is sent to a target
// with a free slot (Send). If there is none, it is forwarded to an entry VM that
// is expected to answer sooner (Forward), else queued, else refused. Each send
// or forward is an attempt, and the transport reports the end of each attempt
// with Answered or Failed. Every request gets exactly one Deliver or Reply, or
// none after CallerGone. Its remaining current attempts are then cancelled.
//
// # Slots
//
// An attempt occupies a slot of its target from Send until the transport
// reports its end, even if it was cancelled, because the target may still be
// working on it. If the report doesn't come, the slot counts as free after
// Limits.CancelGrace. The number of requests in flight never exceeds the share
// that limit.Share gives this entry VM, reduced by limit.Adaptive and extended
// by what limit.Borrow finds free.
//
// # Retries and hedges
//
// The verdicts of a request's ended attempts are joined. A non-idempotent
// request is sent again only while all of them are verdict.NotRun, and is never
// hedged. Repeats (retries, hedges and duplicates) draw on one budget per
// service. Two kinds of repeat are exempt: after a refusal by an entry VM, which
// ran nothing, and after a refusal by a target or entry VM that is leaving,
// which happens once for each of its slots. An answer is delivered only if its
// attempt is current: neither ended nor cancelled.
//
// # Silent connections
//
// While the latency of a service is unknown, no attempt is cancelled because of
// elapsed time alone. An idempotent request that has waited long is sent a
// second time on a new connection, the first attempt continues, and the first
// answer wins. A non-idempotent request is given up before its deadline only
// when several later ones at the same receiver have been answered; until then
// its silence counts as a failure of the receiver.
//
// # Requirements on the transport
//
// The transport carries out Cancels before Sends and Forwards. It reports
// verdict.NotRun only if the request provably didn't run. It reports a target's refusal as NotRun with
// ReasonTargetRefused, or ReasonStopping when the target said that it is
// leaving, and a remote entry VM's Reply with the verdict and reason stated
// there. It carries a Forward's ExpectedWait to the receiver's Arrive. It has
// one request at a time on a connection. It closes the connection of a cancelled
// attempt, opens another when Replace is set, and then reports Failed. It opens
// a new connection for a Send with NewConnection set. It calls Step with a Tick
// at Ready.WakeAt, at the latest.
package dispatch
