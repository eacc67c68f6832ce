// Package target holds what an entry VM knows about one target: how long its
// answers take, whether it fails, and which target to choose for a request.
//
// Mean is a moving average of latency that returns to the service's usual
// when nothing is heard, so that a target isn't shunned for ever because of
// one slow answer. Quantiles estimates the tail for hedges and for silence.
// Outlier takes a target out of use after failures and lets it back in through
// a few test requests. Policy names the ways of choosing.
package target
