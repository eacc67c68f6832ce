// Package client speaks the administration API, and the look-up that callers
// use, to one entry VM.
//
// Every change is sent once, under an operation id made here. The package
// never sends a change again by itself; where the answer is lost the error is
// an *UnknownOutcome, and Settle asks what became of the operation.
package client
