package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// Version is the version of the frame format and of all messages in it.
	Version = 1
	// MaxFrame is the maximum value of a frame's length field: the largest message
	// and room for others beside it.
	MaxFrame = MaxBody + 64<<10

	lengthSize   = 4
	headerSize   = 2 // version and type
	macSize      = 16
	minFrameSize = headerSize + macSize
	nonceSize    = 16
	// maxHelloSize is the maximum length of a frame from a sender that has not yet
	// proved that it knows the key.
	maxHelloSize = 1 << 10
	// FrameOverhead is the size of a frame without its payload.
	FrameOverhead = lengthSize + headerSize + macSize
)

type frameType uint8

const (
	typeHello frameType = 1
	typeData  frameType = 2
)

// Errors that close a connection.
var (
	ErrFrameSize    = errors.New("peer: frame size out of bounds")
	ErrFrameVersion = errors.New("peer: unknown frame version")
	ErrFrameType    = errors.New("peer: unexpected frame type")
	ErrWrongKey     = errors.New("peer: hello not authenticated by the shared key")
	ErrFrameMAC     = errors.New("peer: frame replayed, reordered or forged")
	ErrMisdirected  = errors.New("peer: hello for another VM")
)

// splitter splits a byte stream into frames.
type splitter struct {
	buf   []byte
	limit int
}

// push appends data and calls f with each complete frame, without its length
// field. The frame is valid only during the call.
func (s *splitter) push(data []byte, f func(frame []byte) error) error {
	s.buf = append(s.buf, data...)
	rest := s.buf
	for len(rest) >= lengthSize {
		n := int(binary.BigEndian.Uint32(rest))
		if n < minFrameSize || n > s.limit {
			return fmt.Errorf("%w: %d bytes, at most %d", ErrFrameSize, n, s.limit)
		}
		if len(rest) < lengthSize+n {
			break
		}
		if err := f(rest[lengthSize : lengthSize+n]); err != nil {
			return err
		}
		rest = rest[lengthSize+n:]
	}
	s.keepRest(rest)
	return nil
}

// keepRest moves the incomplete rest to the front of the buffer. If nothing is
// left, it frees a buffer that a large frame has grown.
func (s *splitter) keepRest(rest []byte) {
	const large = 64 << 10
	if len(rest) == 0 && cap(s.buf) > large {
		s.buf = nil
		return
	}
	s.buf = append(s.buf[:0], rest...)
}

// parseFrame checks the version of a frame and returns its type, payload and MAC.
func parseFrame(frame []byte) (frameType, []byte, []byte, error) {
	if frame[0] != Version {
		return 0, nil, nil, fmt.Errorf("%w: %d", ErrFrameVersion, frame[0])
	}
	at := len(frame) - macSize
	return frameType(frame[1]), frame[headerSize:at], frame[at:], nil
}

// sealFrame builds a frame with a payload; sum computes the MAC of header and
// payload.
func sealFrame(t frameType, payload []byte, sum func(b []byte) []byte) []byte {
	out := make([]byte, lengthSize, FrameOverhead+len(payload))
	binary.BigEndian.PutUint32(out, uint32(minFrameSize+len(payload)))
	out = append(out, Version, byte(t))
	out = append(out, payload...)
	return append(out, sum(out[lengthSize:])...)
}

// hello is the payload of the first frame of each side.
type hello struct {
	ID          fleet.VMID        `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Recipient   fleet.VMID        `json:"wants"` // empty in the answer
	Nonce       []byte            `json:"nonce"`
}

// helloMAC returns the MAC function of a hello. It uses the shared key and, for
// an answer, covers the nonce of the hello that it answers.
func helloMAC(key, answered []byte) func(b []byte) []byte {
	return func(b []byte) []byte {
		m := hmac.New(sha256.New, key)
		m.Write([]byte("azurethread hello"))
		m.Write(answered)
		m.Write(b)
		return m.Sum(nil)[:macSize]
	}
}

// Labels for deriving the keys of the two directions.
const (
	fromDialler  = "azurethread from dialler"
	fromAccepter = "azurethread from accepter"
)

// frameAuth computes and verifies the MACs of the data frames of one direction.
type frameAuth struct {
	mac hash.Hash
	seq uint64 // sequence number of the last frame
	buf [sha256.Size]byte
}

func newFrameAuth(key []byte, label string, dialler, accepter []byte) *frameAuth {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	m.Write(dialler)
	m.Write(accepter)
	return &frameAuth{mac: hmac.New(sha256.New, m.Sum(nil))}
}

// sum returns the MAC of the next frame. The slice is valid until the next call.
func (a *frameAuth) sum(b []byte) []byte {
	a.seq++
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], a.seq)
	a.mac.Reset()
	a.mac.Write(n[:])
	a.mac.Write(b)
	return a.mac.Sum(a.buf[:0])[:macSize]
}

// verify checks the MAC of the next frame received. headAndPayload is the part of
// the frame before its MAC.
func (a *frameAuth) verify(headAndPayload, mac []byte) error {
	if !hmac.Equal(a.sum(headAndPayload), mac) {
		return ErrFrameMAC
	}
	return nil
}

// appendData encodes the payload of a data frame: ack, the sequence number of the
// last frame with messages that was received, and the messages.
func appendData(ack uint64, bodies []Body) ([]byte, error) {
	var buf bytes.Buffer
	e := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(e)
	e.ResetWriter(&buf)
	err := errors.Join(e.EncodeArrayLen(2), e.EncodeUint(ack), e.EncodeArrayLen(len(bodies)))
	for _, b := range bodies {
		err = errors.Join(err, e.EncodeArrayLen(2), e.EncodeUint(uint64(b.Kind)), e.EncodeBytes(b.Data))
	}
	return buf.Bytes(), err
}

// decodeData decodes the payload of a data frame.
func decodeData(payload []byte) (ack uint64, bodies []Body, err error) {
	d := decoders.Get().(*msgpack.Decoder)
	defer decoders.Put(d)
	r := bytes.NewReader(payload)
	d.ResetReader(r)
	if err := expectArrayLen(d, 2); err != nil {
		return 0, nil, err
	}
	if ack, err = d.DecodeUint64(); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > MaxBodies {
		return 0, nil, fmt.Errorf("%w: %d messages", ErrMalformed, n)
	}
	for range n {
		b, err := decodeBody(d, r)
		if err != nil {
			return 0, nil, err
		}
		bodies = append(bodies, b)
	}
	if r.Len() > 0 {
		return 0, nil, fmt.Errorf("%w: %d bytes after the messages", ErrMalformed, r.Len())
	}
	return ack, bodies, nil
}

func decodeBody(d *msgpack.Decoder, r *bytes.Reader) (Body, error) {
	if err := expectArrayLen(d, 2); err != nil {
		return Body{}, err
	}
	kind, err := d.DecodeUint8()
	if err != nil {
		return Body{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	n, err := d.DecodeBytesLen()
	if err != nil || n < 0 || n > r.Len() {
		return Body{}, fmt.Errorf("%w: body of %d bytes", ErrMalformed, n)
	}
	data := make([]byte, n)
	if err := d.ReadFull(data); err != nil {
		return Body{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return Body{Kind: Kind(kind), Data: data}, nil
}

func expectArrayLen(d *msgpack.Decoder, want int) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n != want {
		return fmt.Errorf("%w: array of %d, not %d", ErrMalformed, n, want)
	}
	return nil
}
