// Package retry bounds how much work is repeated.
//
// When some targets fail, every caller's retries add load to the others;
// without a bound the retries keep these overloaded after the cause is gone. A
// Budget therefore limits retries and hedges to a ratio of the first attempts.
// Backoff spaces the tests of a target or VM that has failed.
package retry
