// Package deployment describes the users' deployments at their present sizes,
// and runs their stand-ins on loopback.
//
// A Description lists regions, failure domains, entry VMs, services and their
// targets, which are spread evenly over the failure domains. Start runs the
// platform and all targets, and stores the machine list and the first catalogue
// in the platform. The entry VMs are the system under test; the caller of Start
// runs them.
//
// Numbers of VMs and targets, slots, connections and latencies are those of the
// users. Their service times, body sizes and cold starts are not known; the
// values here allow one machine to load a whole deployment.
package deployment
