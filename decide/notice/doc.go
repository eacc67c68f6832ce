// Package notice holds what targets state in their answers about their own
// availability, and how long each statement binds an entry VM.
//
// # Leaving
//
// A target that is about to stop says so in each of its answers. The statement
// holds for that instance of the target until its process ends: an answer without
// it may be to an older request, and the registration in the store may lag behind
// or be out of reach.
//
// # Backoff
//
// A target that turns a request away with 503 may state how long it wants no
// further request (Retry-After). The statement binds from the answer on. A later
// end replaces an earlier one, never the other way round, because answers overtake
// each other. Once the time is over, the target gets one request, and more only as
// it answers: all that had to go elsewhere meanwhile would otherwise arrive at
// once.
package notice
