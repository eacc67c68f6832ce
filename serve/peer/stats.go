package peer

import "errors"

// Stats are counters since the start, except the two last, which are present
// numbers.
type Stats struct {
	FramesSent     uint64 `json:"frames_sent"`
	FramesReceived uint64 `json:"frames_received"`
	BytesSent      uint64 `json:"bytes_sent"`
	BytesReceived  uint64 `json:"bytes_received"`
	AcksSent       uint64 `json:"acks_sent"` // frames that carried no message

	// Connections closed because of what the other side sent.
	RefusedSize        uint64 `json:"refused_size"`
	RefusedVersion     uint64 `json:"refused_version"`
	RefusedType        uint64 `json:"refused_type"`
	RefusedKey         uint64 `json:"refused_key"`  // hello not made with the shared key
	RefusedMAC         uint64 `json:"refused_mac"`  // frame replayed, reordered or forged
	RefusedMalformed   uint64 `json:"refused_form"` // payload malformed
	RefusedMisdirected uint64 `json:"refused_misdirected"`
	RefusedConnections uint64 `json:"refused_connections"` // too many at once
	HelloTimeouts      uint64 `json:"hello_timeouts"`

	Dials        uint64 `json:"dials"`
	DialsFailed  uint64 `json:"dials_failed"`
	Replaced     uint64 `json:"replaced"` // silent connections
	Lost         uint64 `json:"lost"`     // connections given up or closed by the other side
	IdleClosed   uint64 `json:"idled"`
	Dropped      uint64 `json:"dropped"` // messages pushed out of a queue or too old
	Unconfirmed  uint64 `json:"unconfirmed"`
	Connections  uint64 `json:"connections"`
	QueuedBodies uint64 `json:"queued_bodies"`
}

// countRefusal counts the cause for which a connection is closed.
func (s *Stats) countRefusal(err error) {
	switch {
	case errors.Is(err, ErrFrameSize):
		s.RefusedSize++
	case errors.Is(err, ErrFrameVersion):
		s.RefusedVersion++
	case errors.Is(err, ErrFrameType):
		s.RefusedType++
	case errors.Is(err, ErrWrongKey):
		s.RefusedKey++
	case errors.Is(err, ErrFrameMAC):
		s.RefusedMAC++
	case errors.Is(err, ErrMisdirected):
		s.RefusedMisdirected++
	default:
		s.RefusedMalformed++
	}
}
