package peer

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/tinylib/msgp/msgp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/member"
)

// Kind identifies the type of a message on the wire, across all packages.
type Kind uint8

// The ranges of kinds. Numbers of removed kinds are never reused.
const (
	// KindMember is the first of 32 kinds: KindMember + member.Msg.Kind().
	KindMember Kind = 0
	// KindLoad is a load.Report.
	KindLoad Kind = 32
	// KindConfig is the first of 32 kinds of the configuration protocol.
	KindConfig Kind = 64
	// KindTally is the kind of messages that gather evidence for traffic shifts.
	KindTally Kind = 96
	// KindMachine is the kind of messages that spread the machine list.
	KindMachine Kind = 128
	// KindIngress is the first of 32 kinds for the placement of requests.
	KindIngress Kind = 160
	// KindAccountPlacement is the last of these kinds: a placement request with a
	// client account. Like KindIngress, it is acknowledged.
	KindAccountPlacement Kind = 191
	// KindRelay is the first of 32 kinds by which entry VMs relay the contents
	// of the metadata store.
	KindRelay Kind = 192
	// KindTest is the first kind that no daemon uses.
	KindTest Kind = 240
)

// needsNoAck reports whether messages of a kind need no acknowledgement, because
// they answer another message or are sent along with one. Acknowledging them
// would add a frame to each exchange.
func (k Kind) needsNoAck() bool {
	return k == KindLoad || (k > KindIngress && k < KindAccountPlacement) || (k < KindLoad && member.IsAnswer(uint8(k-KindMember)))
}

func noneNeedsAck(bodies []Body) bool {
	for _, b := range bodies {
		if !b.Kind.needsNoAck() {
			return false
		}
	}
	return true
}

// Body is one encoded message.
type Body struct {
	Kind Kind
	Data []byte
}

// Envelope holds the messages of one frame from another entry VM.
type Envelope struct {
	From            fleet.VMID
	FromIncarnation fleet.Incarnation
	Seq             uint64 // sequence number of the frame on its connection
	Bodies          []Body
}

const (
	// MaxBodies is the maximum number of messages in one frame.
	MaxBodies = 64
	// MaxBody is the maximum size of one encoded message, in bytes.
	MaxBody = 1 << 20
	// MaxMemberBody is the maximum size of a membership or load message, in
	// bytes. Decoding turns one byte into up to about 150 bytes of structs, so
	// this limits the memory that a faulty peer can make this process allocate.
	MaxMemberBody = 256 << 10
)

// Errors of decoding.
var (
	ErrMalformed = errors.New("peer: malformed message")
	ErrTooLarge  = errors.New("peer: message too large")
	ErrKind      = errors.New("peer: unexpected kind of message")
)

var encoders = sync.Pool{New: func() any {
	e := msgpack.NewEncoder(nil)
	e.SetCustomStructTag("json")
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e
}}

var decoders = sync.Pool{New: func() any {
	d := msgpack.NewDecoder(nil)
	d.SetCustomStructTag("json")
	return d
}}

// Encode encodes a struct whose fields have json tags. Structs are encoded as
// arrays of their fields' values, so adding a field requires a new kind or a new
// Version.
func Encode(kind Kind, v any) (Body, error) {
	var buf bytes.Buffer
	e := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(e)
	e.ResetWriter(&buf)
	if err := e.Encode(v); err != nil {
		return Body{}, fmt.Errorf("peer: encode kind %d: %w", kind, err)
	}
	if buf.Len() > MaxBody {
		return Body{}, fmt.Errorf("%w: kind %d has %d bytes", ErrTooLarge, kind, buf.Len())
	}
	return Body{Kind: kind, Data: buf.Bytes()}, nil
}

// Decode decodes a body of at most limit bytes into v, a pointer to a struct.
//
// The structure is checked before it is decoded: the decoder allocates the
// length that an array header declares, so a few bytes that declare four billion
// elements would otherwise exhaust the memory.
func Decode(b Body, limit int, v any) error {
	if len(b.Data) > limit {
		return fmt.Errorf("%w: kind %d has %d bytes", ErrTooLarge, b.Kind, len(b.Data))
	}
	rest, err := msgp.Skip(b.Data)
	if err != nil {
		return fmt.Errorf("%w: kind %d: %w", ErrMalformed, b.Kind, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: kind %d has %d trailing bytes", ErrMalformed, b.Kind, len(rest))
	}
	d := decoders.Get().(*msgpack.Decoder)
	defer decoders.Put(d)
	d.ResetReader(bytes.NewReader(b.Data))
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: kind %d: %w", ErrMalformed, b.Kind, err)
	}
	return nil
}

// EncodeMember encodes a membership message.
func EncodeMember(m member.Msg) (Body, error) {
	return Encode(KindMember+Kind(m.Kind()), m)
}

// IsMember reports whether a body is a membership message.
func (b Body) IsMember() bool { return b.Kind < KindLoad }

// DecodeMember decodes and validates a membership message.
func DecodeMember(b Body) (member.Msg, error) {
	m := member.NewMsg(uint8(b.Kind - KindMember))
	if m == nil {
		return nil, fmt.Errorf("%w: %d", ErrKind, b.Kind)
	}
	if err := Decode(b, MaxMemberBody, m); err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, nil
}

// EncodeLoad encodes a load report.
func EncodeLoad(r *load.Report) (Body, error) { return Encode(KindLoad, r) }

// DecodeLoad decodes and validates a load report.
func DecodeLoad(b Body) (*load.Report, error) {
	if b.Kind != KindLoad {
		return nil, fmt.Errorf("%w: %d", ErrKind, b.Kind)
	}
	r := new(load.Report)
	if err := Decode(b, MaxMemberBody, r); err != nil {
		return nil, err
	}
	if err := r.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}
