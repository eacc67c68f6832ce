// Package dispatch decides what an entry VM does with each request: which
// target of its own failure domain gets it, whether it waits, goes to an entry
// VM elsewhere or back to the caller, and what follows when an attempt fails.
//
// State is one reducer. Step takes an event and an instant and appends the
// effects to a Ready; it reads no clock, does no I/O, never lets the order of a
// map decide, and draws random numbers from its own seeded generator. The same
// events give the same effects, which is what the sessions in testdata record.
//
// # A request
//
// Arrive accepts or refuses it. An accepted request is sent to a target with a
// free slot (Send), else forwarded to an entry VM that is expected to answer
// sooner (Forward), else queued, else refused. Each send or forward is an
// attempt, and the transport reports the end of each one with Answered or
// Failed. Every request gets exactly one Deliver or Reply, or none after
// CallerGone. All attempts still current are then cancelled.
//
// # What is counted
//
// An attempt takes a slot of its target from Send until the transport reports
// its end, also when it was cancelled: the target may still work on it. If the
// report doesn't come, the slot counts as free after Limits.CancelGrace. In
// flight never exceeds what limit.Share gives this entry VM, less what
// limit.Adaptive takes away, plus what limit.Borrow finds free.
//
// # What may be repeated
//
// The verdicts of a request's ended attempts are joined. A request that isn't
// idempotent is sent again only while all of them are verdict.NotRun; it is
// never hedged. Repeats and hedges draw on one budget for each service, except
// after a refusal by an entry VM, which ran nothing, and by a machine that is
// leaving, which happens once for each of its slots. An answer is delivered
// only if its attempt is current: neither ended nor cancelled.
//
// # What is taken for silent
//
// While nothing is known of a service's latency, no attempt is cancelled on time
// alone. An idempotent request that waits for long is sent a second time on a
// new connection, without a cancel, and the first answer wins. A non-idempotent
// one is given up before its deadline only when several later ones at the same
// receiver have been answered; until then it counts against the receiver.
//
// # What the transport owes
//
// It carries out Cancels before Sends and Forwards. It reports verdict.NotRun
// only with proof. It passes on a target's refusal as NotRun with ReasonShed,
// or ReasonStopping when the target said that it is leaving, and a remote entry
// VM's Reply with the verdict and reason it states. It carries a
// Forward's ExpectedWait to the receiver's Arrive. It has one request at a time
// on a connection, closes that of a cancelled attempt, opens another when
// Replace is set, and then reports Failed. A Send that is Fresh gets a new
// connection. It calls Step with a Tick at
// Ready.Wake, at the latest.
package dispatch
