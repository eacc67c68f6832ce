// Package measure runs several dispatch.States in virtual time against a small
// model of targets, links and callers, and measures what callers observe. It
// compares policies and checks the goals of the decision code; it doesn't
// simulate a whole cluster.
//
// The model has regions of two failure domains each, with entry VMs and targets
// spread over the domains. Callers arrive as a Poisson process at an entry VM of
// their own region, in either domain. A target works on as many requests as it
// has slots, queues a bounded backlog, drops requests past their deadline, and
// refuses the rest. The time that a request takes is its own size times a factor
// drawn for each attempt, both log-normal. Load reports are made once a second
// and arrive one second later.
package measure
