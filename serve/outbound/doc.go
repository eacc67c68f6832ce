// Package outbound sends requests to targets and to other entry VMs over nbio
// connections with nbhttp's parser, and reports for each failure whether the
// request may have run.
//
// A connection carries one request at a time. What is received while it carries
// none belongs to no request, and closes it. What is received while it carries one
// may still belong to none, because a receiver may send additional bytes behind an
// answer: see Ownership. When a request is cancelled its connection is closed, and a
// late answer on it is ignored.
//
// nbhttp's own client was measured to miss its timeout on a silent peer and its
// context's cancellation (docs/design/http.md). Deadlines and cancellation are
// therefore left to the decision code, which calls Cancel.
package outbound
