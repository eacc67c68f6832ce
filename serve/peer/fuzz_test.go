package peer

import (
	"bytes"
	"testing"
)

// FuzzFrames feeds a byte stream, split at an arbitrary position, to the decoders
// of frames and messages. They must not panic, the result must not depend on the
// split, and a data payload that decodes must re-encode to the same messages.
func FuzzFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, stream []byte, cut uint16) {
		at := min(int(cut), len(stream))
		whole, err := frames(stream)
		parts, err2 := frames(stream[:at], stream[at:])
		if (err == nil) != (err2 == nil) || !bytes.Equal(bytes.Join(whole, nil), bytes.Join(parts, nil)) {
			t.Fatalf("cut at %d: %d frames, %v; whole: %d frames, %v", at, len(parts), err2, len(whole), err)
		}
		for _, frame := range whole {
			checkFrame(t, frame)
		}
	})
}

func frames(parts ...[]byte) ([][]byte, error) {
	s := splitter{limit: MaxFrame}
	var out [][]byte
	for _, p := range parts {
		err := s.push(p, func(frame []byte) error {
			out = append(out, bytes.Clone(frame))
			return nil
		})
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

func checkFrame(t *testing.T, frame []byte) {
	_, payload, mac, err := parseFrame(frame)
	if err != nil {
		return
	}
	if len(mac) != macSize {
		t.Fatalf("mac of %d bytes", len(mac))
	}
	ack, bodies, err := decodeData(payload)
	if err != nil {
		return
	}
	again, err := appendData(ack, bodies)
	if err != nil {
		t.Fatal(err)
	}
	ack2, bodies2, err := decodeData(again)
	if err != nil || ack2 != ack || len(bodies2) != len(bodies) {
		t.Fatalf("%v: ack %d and %d, %d and %d messages", err, ack, ack2, len(bodies), len(bodies2))
	}
	for _, b := range bodies {
		checkBody(t, b)
	}
}

func checkBody(t *testing.T, b Body) {
	if m, err := DecodeMember(b); err == nil {
		if _, err := EncodeMember(m); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = DecodeLoad(b)
	var h hello
	_ = Decode(b, maxHelloSize, &h)
}
