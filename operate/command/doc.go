// Package command implements the operators' command line.
//
// New builds the root command; Execute runs it and returns the exit code. The
// catalogue commands use the administration API of one entry VM through
// operate/client. After a change, the command prints the revision at which it
// was accepted, waits for a limited time until the change is in force on all
// entry VMs, and lists those that lack it. If the outcome of a change is
// unknown, the command queries it by operation id until it is known or the
// wait ends; the change is never sent again.
//
// Further commands, such as the demo, are passed to New.
package command
