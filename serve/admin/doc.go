// Package admin serves the administration API: operators read the catalogue
// and the state of the system, and change the catalogue, as JSON over HTTP.
//
// The package does not depend on the platform or the peers. A Changer executes
// operations, an OutcomeFinder returns the outcome of one, and a Viewer returns
// the state known to this entry VM. The handlers authenticate the operator, parse
// requests strictly and convert every outcome into one status code and one JSON
// body.
//
// # Outcomes of a change
//
// A change is accepted once the platform has stored it durably. If the platform's
// answer to the write was lost, it is unknown whether the change was accepted.
// The answer is then 202 or 504 with the verdict may-have-run and the operation
// id, which clients use to query the outcome until it is known. All other
// failures of a change carry the verdict not-run.
//
// # Operators
//
// Operators authenticate with bearer tokens. The settings hold only the SHA-256
// of each token. Every request, including refused ones, produces one audit record,
// which contains neither tokens nor bodies.
package admin
