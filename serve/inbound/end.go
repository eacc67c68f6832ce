package inbound

import "net/netip"

// CloseReason says which side closed a connection, and why.
type CloseReason string

// Reasons for the end of a connection.
const (
	ClosedByCaller     CloseReason = "caller"        // the caller closed its end
	ClosedByFailure    CloseReason = "failure"       // it was reset, or reading or writing failed
	ClosedIdleTimeout  CloseReason = "idle-timeout"  // no request came in time
	ClosedReadTimeout  CloseReason = "read-timeout"  // a request was not received in time
	ClosedWriteTimeout CloseReason = "write-timeout" // the caller did not take an answer in time
	ClosedRefused      CloseReason = "refused"       // a message could not be processed
	ClosedAnswered     CloseReason = "answered"      // the last answer was sent, and the caller did not close
	ClosedStopIdle     CloseReason = "stop-idle"     // it was idle in a planned stop
	ClosedNoRoom       CloseReason = "no-room"       // it carried no request, and others needed the connection
	ClosedStopEnd      CloseReason = "stop-end"      // the server has ended
)

// Own reports whether this side decided to close the connection.
func (r CloseReason) Own() bool { return r != ClosedByCaller && r != ClosedByFailure }

// ConnectionEnd describes a closed connection.
type ConnectionEnd struct {
	Reason   CloseReason
	Remote   netip.AddrPort
	Requests int  // passed to the handler since it was opened
	InFlight int  // of them, those without an answer
	Waiting  int  // requests that were received and not passed on
	Partial  bool // a request was partly received
	Unread   int  // bytes that the kernel held when this side decided to close an idle connection
}
