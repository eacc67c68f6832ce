// Package ingress runs an entry VM that serves operators' routes: it accepts
// callers' requests, sends them to targets, answers look-ups, and keeps a copy
// of the metadata store.
//
// Package decide/ingress makes the decisions. This package translates input from
// the network into events for it, and its effects into output. Everything
// specific to the users' platform, such as the names of header fields and the
// format of a configuration, is supplied through Settings.
//
// The process has no persistent state: it reads the configuration, the targets
// and the list of entry VMs from the store when it starts. While the store
// refuses this VM, other entry VMs relay what they have read.
package ingress
