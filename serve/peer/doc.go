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
// the VM it wants and a nonce. The other side answers with its own hello,
// whose MAC also covers the first nonce, so it proves to know the shared key
// and to be no recording. Both then derive one key for each direction from
// the shared key and the two nonces. Each data frame's MAC covers its number
// in its direction, which is not sent: a frame that is replayed, reordered,
// left out or taken from another connection has a MAC that doesn't fit, and
// the connection is closed. The first data frame proves the dialler.
//
// # Silent connections
//
// A firewall or router on the path may drop the state of one connection: its
// segments vanish, while others arrive and writes still succeed. Each data
// frame therefore states the last frame received, and a frame with messages
// is acknowledged within Options.AckDelay, by whatever goes back or by an
// empty frame. A connection whose frames stay unacknowledged for
// Options.SilentAfter is replaced as soon as a new one completes the
// handshake.
//
// # Loss
//
// Sending never blocks. What doesn't fit the queue of a VM pushes out what
// has waited longest, and frames in transit on a replaced connection are not
// sent again: every protocol above repeats or repairs its messages.
package peer
