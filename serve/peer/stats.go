package peer

import "errors"

// Stats are counters since the start. Connections and QueuedBodies are current
// values.
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
	RefusedKey         uint64 `json:"refused_key"`  // hello not authenticated by the shared key
	RefusedMAC         uint64 `json:"refused_mac"`  // frame replayed, reordered or forged
	RefusedMalformed   uint64 `json:"refused_form"` // malformed payload
	RefusedMisdirected uint64 `json:"refused_misdirected"`
	RefusedConnections uint64 `json:"refused_connections"` // too many connections
	HelloTimeouts      uint64 `json:"hello_timeouts"`

	Dials        uint64 `json:"dials"`
	DialsFailed  uint64 `json:"dials_failed"`
	Replaced     uint64 `json:"replaced"` // connections without acknowledgements
	Lost         uint64 `json:"lost"`     // connections given up or closed by the other side
	IdleClosed   uint64 `json:"idled"`
	Dropped      uint64 `json:"dropped"`     // messages dropped from a full queue or expired in it
	Unconfirmed  uint64 `json:"unconfirmed"` // unacknowledged messages of replaced or lost connections
	Connections  uint64 `json:"connections"`
	QueuedBodies uint64 `json:"queued_bodies"`
}

// countRefusal counts the error that closes a connection.
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
