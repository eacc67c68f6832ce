// Package enginetest runs a small fleet of engines against fakes of their
// environment on a fake clock, and checks invariants.
//
// A World holds entry VMs (each a real engine.Engine), targets, the platform,
// callers and operators. Everything that passes between them is a function in
// one queue ordered by time, so the seed determines the whole run. The fakes
// replace the daemon's transports: they turn effects into events with the
// delays, losses and verdicts that the real transports produce.
//
// # Exchanges
//
// An Exchange is one request on one connection: from a caller to an entry VM, or
// from an entry VM to a target or another entry VM. Its fault is drawn at the
// start. The sender gets at most one result, and gets NotRun only if no byte of
// the request was sent.
//
// # Submissions
//
// The Checker keeps its own records and shares no code with the engine. A Work
// is one unit of work of a caller. A Submission is the unit that a
// verdict applies to: all sends with one token, or one send without a token.
// Each forward has its own Submission, whose parent is the forwarded one. A run
// at a target counts for its Submission and all parents. It is a violation if a
// Submission runs that was also reported as NotRun, in either order.
//
// The package is not a cluster simulator: it models no topology beyond a list of
// entry VMs and targets with their failure domains, and runs no experiments.
package enginetest
