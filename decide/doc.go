// Package decide is the root of the packages that make azurethread's decisions.
// Package engine combines them into one reducer.
//
// No package below this folder opens a file or a connection, reads a clock,
// starts a goroutine, or draws random numbers other than from a given seed. A
// test checks this. The same events in the same order therefore always have the
// same effects, on which the golden sessions and the randomised tests rely.
package decide
