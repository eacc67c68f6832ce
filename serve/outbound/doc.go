// Package outbound sends requests to targets and to other entry VMs over
// nbio connections with nbhttp's parser, and says of each failure whether the
// request may have run.
//
// A connection carries one request at a time, so an answer can only belong to
// the request it was sent for; a connection whose request was given up is
// closed, and an answer that still arrives on it goes nowhere.
//
// nbhttp's own client was measured to miss its timeout on a silent peer and
// its context's cancellation (docs/design/http.md). Deadlines and
// cancellation are therefore the decision code's: it calls Cancel.
package outbound
