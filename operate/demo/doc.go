// Package demo runs a complete deployment in one process on loopback: stand-ins
// for the platform and the targets, a daemon for each entry VM, and callers
// with a mixed load. It can inject one fault after a third of the run. Its
// last output is one line of JSON with counts of the stand-ins and the
// callers. Apart from the invariant violations, no count comes from the
// daemons under test.
package demo
