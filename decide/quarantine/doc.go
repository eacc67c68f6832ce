// Package quarantine tells requests that end the targets that run them, queries
// of death, from others, and says which are to be kept away from targets.
//
// A request is known by the Fingerprint of its content, as each attempt of its
// caller has an id of its own and comes to any entry VM.
package quarantine
