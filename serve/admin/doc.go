// Package admin serves the administration API: operators read the catalogue
// and the state of the system, and change the catalogue, as JSON over HTTP.
//
// The package knows neither the platform nor the peers. A Changer carries out
// operations, a Settler says what became of one, and a Viewer tells what this
// entry VM knows. The handlers check who asks, read requests strictly, and turn
// every outcome into one status code and one JSON body.
//
// # Outcomes of a change
//
// A change is accepted once it is durable at the platform. Where the answer of
// the platform's write was lost, the change may or may not have been accepted;
// the answer is then 202 or 504 with the verdict may-have-run and the
// operation id, under which the outcome can be asked for until it is known.
// All other failures of a change carry the verdict not-run.
//
// # Operators
//
// Operators authenticate by bearer token. Settings hold only the SHA-256 of
// each token; every request, also a refused one, leaves one audit record,
// which holds no token and no body.
package admin
