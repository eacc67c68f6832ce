// Package peer carries messages between entry VMs over TCP.
//
// # Frames
//
// A connection is a sequence of frames in both directions:
//
//	length   4 bytes, big endian, of all that follows; at most MaxFrame
//	version  1 byte, Version
//	type     1 byte: 1 hello, 2 data
//	payload  MessagePack
//	mac      16 bytes, the start of an HMAC-SHA256
//
// # Handshake
//
// The side that dialled sends a hello: its VM id, its incarnation, the id of
// the intended recipient and a nonce. The other side answers with its own
// hello, whose MAC also covers the first nonce: this proves that it knows the
// shared key and that the answer is not a recording. Both then derive one key
// for each direction from the shared key and the two nonces. The MAC of a data
// frame covers its sequence number in its direction, which is not sent. If a
// frame is replayed, reordered, omitted or taken from another connection, the
// MAC does not match and the connection is closed. The first data frame
// authenticates the side that dialled.
//
// # Silent connections
//
// A firewall or router on the path may drop the state of one connection: its
// segments are lost, while other connections work and writes still succeed.
// Each data frame therefore acknowledges the last frame received, and a frame
// with messages is acknowledged within Options.AckDelay, by the next frame sent
// back or by an empty one. Frames that hold only answers or load reports need no
// acknowledgement. A connection whose frames stay unacknowledged for
// Options.ReplaceAfter is replaced as soon as a new one completes the
// handshake.
//
// # Loss
//
// Sending never blocks. If the queue of a VM is full, the oldest messages are
// dropped, and frames in transit on a replaced connection are not sent again:
// every protocol above repeats or repairs its messages.
package peer
