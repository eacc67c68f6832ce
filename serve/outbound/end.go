package outbound

// CloseReason says which side closed a connection, and why.
type CloseReason string

// Reasons for the end of a connection.
const (
	ClosedByReceiver  CloseReason = "receiver"     // the receiver closed its end
	ClosedByFailure   CloseReason = "failure"      // it was reset, or reading or writing failed
	ClosedIdle        CloseReason = "idle"         // it was idle for too long
	ClosedCancelled   CloseReason = "cancelled"    // its request was cancelled
	ClosedNotReusable CloseReason = "not-reusable" // its answer does not allow a further request
	ClosedInvalid     CloseReason = "invalid"      // what was received is not an answer, or is too long
	ClosedWithPool    CloseReason = "pool-closed"  // the pool was closed
)
