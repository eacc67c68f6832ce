// Package target holds what an entry VM knows about one target: how long its
// answers take, whether it fails, and by which policy targets are chosen.
//
// Mean is a moving average of latency. Without new samples it returns to the
// service's usual latency, so that one slow answer doesn't keep a target from
// being used forever. Quantiles estimates the tail of the latency, which sets
// the delay of hedges and the time after which a connection counts as silent.
// Outlier ejects a target after failures and readmits it after a few
// successful test requests. Policy names the ways of choosing a target.
package target
