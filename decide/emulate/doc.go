// Package emulate simulates a whole fleet of entry VMs under patterns of load and
// faults, in one process and on a simulated clock.
//
// The decisions are the real ones: each entry VM is an ingress.Reducer. Its
// environment is modelled: targets (slots, a queue, cached objects, cold start,
// slowness, failures), the latency between failure domains, callers that retry
// when they are asked to, and the list of entry VMs. Every VM learns of changes of targets
// and of evacuations after a fixed time; the store from which it learns them is modelled
// if it comes back from copies of earlier states.
// If the pattern says so, the pace of targets changes from moment to moment, and some
// requests have much more work than others.
// Connections to targets are modelled if the pattern states how long idle ones
// are kept. Processor time and bytes are not modelled.
//
// A Pattern is data. The same pattern, variant and seed give the same Result, so
// two variants can be compared run by run.
package emulate
