package outbound

// Ownership says whether an answer belongs to the request that its connection carries.
type Ownership uint8

const (
	// Own means that the answer names the request, or that the receiver answers each
	// request once.
	Own Ownership = iota
	// Unnamed means that the answer names no request. It ends the request, and is the last
	// one on its connection.
	//
	// A receiver may send an answer a second time, as late as where the answer to the next
	// request is due. A copy that names a request is told by the name. A copy of an unnamed
	// answer meets no other request, because its connection carries none after it. So all
	// earlier answers on the connection of an unnamed answer named their requests, and it is
	// a copy of none of them.
	Unnamed
	// Foreign means that the answer belongs to another request, or to none. The request
	// goes on waiting for its own.
	Foreign
)
