// Package ingress runs an entry VM that serves operators' routes: it takes
// callers' requests, sends them to targets, answers look-ups, and keeps a copy
// of what the metadata store says.
//
// Decisions are those of decide/ingress. This package turns bytes into its
// events and its effects into bytes. What is particular to the users' platform,
// such as the names of header fields and the form of a configuration, comes in
// with Settings; nothing here knows it.
//
// A process keeps nothing: the configuration, the targets and the list of entry
// VMs are read from the store at the start. While the store refuses this VM,
// other entry VMs pass on what they have read.
package ingress
