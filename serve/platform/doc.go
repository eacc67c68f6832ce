// Package platform reaches the platform's key-value service and its list of
// machines.
//
// The service holds everything that must outlive the daemons: they have no
// disks. This package states what the rest of the system needs of it as two
// small interfaces, Store and Machines, and implements both over HTTP.
//
// # Protocol
//
// The client speaks the published key-value HTTP API of Consul, in this
// subset, so that a service of that kind plugs in unchanged:
//
//	GET    /v1/kv/<key>                    one entry; 404 when absent
//	GET    /v1/kv/<key>?index=N&wait=30s   the same, answered when the index
//	                                       exceeds N or the wait ends
//	GET    /v1/kv/<prefix>?recurse         all entries below a prefix
//	PUT    /v1/kv/<key>?cas=N              compare-and-swap, answers true or
//	                                       false; N=0 creates if absent
//	PUT    /v1/kv/<key>?acquire=<session>  write and lock under a session
//	DELETE /v1/kv/<key>?cas=N              delete if unchanged
//	PUT    /v1/session/create              {"TTL":"15s",...}, answers {"ID":...}
//	PUT    /v1/session/renew/<session>
//	PUT    /v1/session/destroy/<session>
//	GET    /v1/machines?index=N&wait=30s   the machine list (not Consul's)
//
// Values are base64 in JSON answers and raw in request bodies. Every GET
// answer carries the index in the X-Consul-Index header. A session is what
// this package calls a lease.
//
// An accepted write answers only true, so the client learns the new index by
// reading the entry back. When somebody else has already replaced it, or the
// read fails, the index is reported as 0: not known. That is safe to pass on,
// because a compare-and-swap with 0 succeeds only on an absent key and a
// watch after 0 answers at once.
//
// # Failures
//
// A failed call is a *verdict.Error. NotRun means that no connection was
// obtained, so no byte was sent, or that the service refused the request with
// a 4xx status. Everything later is MayHaveRun: the write may take effect, or
// have taken effect, although its answer was lost. The client never sends a
// write again by itself. net/http's transport may replay a GET, and a write
// only while nothing of it has been written.
//
// # Library
//
// The client is net/http's. The house's nbhttp client did not keep its
// timeout against a silent peer in the trials that docs/DESIGN.md records,
// and a few calls a minute from a few readers gain nothing from it.
package platform
