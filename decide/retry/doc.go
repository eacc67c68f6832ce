// Package retry bounds work that is done more than once.
//
// When a part of the targets fails, every caller's retries add load to the
// rest; without a bound the retries themselves keep the rest overloaded after
// the cause is gone. A Budget therefore ties retries and hedges to a share of
// the first attempts. Backoff spaces the tests of a machine that has failed.
package retry
