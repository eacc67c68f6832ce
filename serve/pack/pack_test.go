package pack

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestCompressRoundTrip(t *testing.T) {
	for _, l := range []Level{Fast, Small} {
		is := is.New(t)
		parts := [][]byte{nil, []byte("a"), bytes.Repeat([]byte("ab"), 10_000)}
		packed, err := Compress(l, parts...)
		is.NoErr(err)
		is.True(len(packed[2]) < 1000)
		for i, p := range packed {
			plain, err := Decompress(p, 20_000)
			is.NoErr(err)
			is.True(bytes.Equal(plain, parts[i]))
		}
	}
}

// Guards against a few bytes that decompress to more than fits into memory.
func TestDecompressIsBounded(t *testing.T) {
	is := is.New(t)
	packed, err := Compress(Small, make([]byte, 1<<20))
	is.NoErr(err)
	_, err = Decompress(packed[0], 1<<19)
	is.True(err != nil)
	_, err = Decompress([]byte("not packed"), 1<<19)
	is.True(err != nil)
}
