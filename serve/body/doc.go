// Package body decodes and collects the bodies of HTTP/1.1 messages as they are received.
//
// nbhttp keeps a body of a stated length, and each chunk, until all of it was received,
// and then passes it on to be copied; it keeps the size of a chunk and a trailer without
// bound. A sender could fill the memory of an entry VM with either, so only heads are left
// to nbhttp.
package body
