// Package pace estimates how long work takes at a target now, compared with usual.
//
// Targets that share a machine with other programs state their pace in their answers, in
// percent: 100 means that work takes as long as usual, 250 that it takes two and a half
// times as long. The pace changes faster than a moving average of latencies can follow, so
// the latest statement replaces all earlier ones and is forgotten quickly.
//
// The estimate is safe to use in the choice of a target:
//
//   - It needs no statement: without one the factor is exactly 1, and a value outside the
//     accepted range is ignored.
//   - It recovers without statements: a target that gets no requests states nothing, so its
//     factor returns to 1 with a half-life of 400 ms and it is used again.
//   - It is bounded: one statement changes the factor to between 0.01 and 100.
//   - It holds no reference to a clock and allocates nothing.
package pace
