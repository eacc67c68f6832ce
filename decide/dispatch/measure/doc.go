// Package measure runs several dispatch.States in virtual time against a small
// model of targets, links and callers, and measures what callers see. It is
// there to compare policies and to keep the decision code's goals in view; it
// is not a simulator of clusters.
//
// The model: regions of two failure domains each; entry VMs and targets spread
// over the domains; callers that arrive as a Poisson process at an entry VM of
// their own region, whichever domain. A target works on as many requests as it
// has slots, keeps a bounded backlog beyond, drops work past its deadline,
// and refuses the rest. The time a request takes is its own size times a factor
// drawn for each attempt, both log-normal. Load reports are made each second
// and arrive a second late.
package measure
