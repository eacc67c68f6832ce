// Package deployment describes the users' deployments at the sizes of today,
// and runs their stand-ins on loopback.
//
// A Description says what there is: regions, failure domains, entry VMs,
// services and their targets, spread evenly over the failure domains. Start
// runs the platform and all targets, and puts the machine list and the first
// catalogue into the platform. The entry VMs themselves are the system under
// test, and are started by whoever calls Start.
//
// Sizes, slots, connections and latencies are the users'. Service times,
// sizes of bodies and cold starts are not known; those here are chosen so
// that one machine can load a whole deployment.
package deployment
