// Package decide is the root of every decision that azurethread takes, each in
// a package of its own below it, with engine joining them into one reducer.
//
// Nothing below this folder opens a file or a connection, reads a clock,
// starts a goroutine or draws random numbers other than from a seed that it
// was given; a test holds it to that. The same events in the same order
// therefore always give the same effects, which is what the golden sessions
// and the randomised runs rely on.
package decide
