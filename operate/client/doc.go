// Package client is a client of one entry VM's administration API and of the
// look-up that callers use.
//
// Every change is sent once, with an operation id that the package generates.
// The package never sends a change again; if the answer is lost, the error is
// an *UnknownOutcome, and FindOutcome returns the outcome of the operation.
package client
