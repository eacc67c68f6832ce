package heads

import (
	"bytes"
	"slices"
)

// framingFields are the fields that say how the body ends.
var framingFields = [][]byte{[]byte("content-length:"), []byte("transfer-encoding:")}

// WithoutFraming removes from a checked head the fields that say how the body ends, so
// that a parser takes the head for a whole message.
func WithoutFraming(head []byte) []byte {
	at, end := framingField(head)
	if at < 0 {
		return head
	}
	return WithoutFraming(slices.Concat(head[:at], head[end:]))
}

// framingField returns where the first framing field begins and ends; -1 if there is none.
func framingField(head []byte) (at, end int) {
	for at = 0; at < len(head); at = end {
		n := bytes.IndexByte(head[at:], '\n') + 1
		if n == 0 {
			break
		}
		end = at + n
		for _, f := range framingFields {
			if n > len(f) && bytes.EqualFold(head[at:at+len(f)], f) {
				return at, end
			}
		}
	}
	return -1, -1
}
