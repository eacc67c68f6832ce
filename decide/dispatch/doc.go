// Package dispatch decides what an entry VM does with each request.
//
// State is one reducer: Step takes an event and an instant and appends the
// effects to a Ready. It reads no clock, does no I/O and draws random numbers
// from its own seeded generator, so the same events give the same effects.
package dispatch
