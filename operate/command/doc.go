// Package command is the operators' command line.
//
// New builds the root command; Execute runs it and returns the exit code. The
// commands of the catalogue speak to one entry VM through operate/client.
// After a change the command says at which revision it was accepted, and then
// waits a little until it is in force on all entry VMs, naming those that are
// missing. A change whose outcome is unknown is asked for by operation id
// until it is known or the wait ends; it is never sent again.
//
// Further commands, such as a demo, are given to New.
package command
