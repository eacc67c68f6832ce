// Package platform is a client of the platform's key-value service and of its
// list of machines.
//
// The daemons have no disks, so the service stores everything that must outlive
// them. This package defines what the rest of the system needs from it as two
// small interfaces, Store and Machines, and implements both over HTTP.
//
// # Protocol
//
// The client speaks the published key-value HTTP API of Consul, in this
// subset, so that any service compatible with it can be used:
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
// answer carries the index in the X-Consul-Index header. Consul's session is a
// lease in this package.
//
// The answer to an accepted write is only true, so the client reads the entry
// back to get the new index. If another client has already replaced the entry,
// or the read fails, the index is reported as 0, which means unknown. Using 0 is
// safe: a compare-and-swap with 0 succeeds only on an absent key, and a watch
// after 0 returns at once.
//
// # Failures
//
// A failed call returns a *verdict.Error. NotRun means that no connection was
// obtained, so no byte was sent, or that the service refused the request with
// a 4xx status. Any later failure is MayHaveRun: the write may take effect or
// may have taken effect although its answer was lost. The client never repeats a
// write. net/http's transport may repeat a GET, and a write only if no byte of
// it has been sent.
//
// # Library
//
// The package uses the client of net/http. In the trials recorded in
// docs/DESIGN.md, the nbhttp client did not enforce its timeout against a
// silent peer, and the few calls per minute from a few readers would not benefit
// from it.
package platform
