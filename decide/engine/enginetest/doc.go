// Package enginetest joins a handful of engines with fakes of everything that
// surrounds them, under one fake clock, and checks what must always hold.
//
// A World holds entry VMs (each a real engine.Engine), targets, the platform,
// callers and operators. Whatever passes between them is a function in one
// queue ordered by instant, so a seed decides the whole run. The fakes stand
// at the interfaces that the daemon's transports serve: they turn effects into
// events with the delays, losses and verdicts that the real ones produce.
//
// # Exchanges
//
// A request on a connection is an Exchange: from a caller to an entry VM, from
// there to a target or another entry VM. Its fate is drawn when it starts.
// Whoever sent it learns of one end at most, and is told NotRun only if no
// byte of it was handed over.
//
// # Claims
//
// The checks keep their own books, which share no code with the engine. A
// Work is what a caller wants done. A Claim is what a verdict speaks of: all
// sends under one token, or one send without a token. Each forward has a Claim
// of its own inside the one that it serves. A run at a target counts for its
// Claim and all those around it; a run of a Claim that anybody was told NotRun
// of is a violation, whichever comes first.
//
// It is no cluster simulator: it knows no topology but a list of entry VMs and
// targets with their failure domains, and runs no experiments.
package enginetest
