package payload_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/payload"
)

func content(is *is.I, id string, n int) []byte {
	is.Helper()
	var b bytes.Buffer
	is.NoErr(payload.Write(&b, id, n))
	return b.Bytes()
}

func TestCheckAcceptsOnlyCompleteContentOfRequest(t *testing.T) {
	for _, n := range []int{0, 1, 64, 32 << 10, 100_001} {
		is := is.New(t)
		own := content(is, "a", n)
		is.Equal(len(own), n)
		is.NoErr(payload.Check(bytes.NewReader(own), "a", n))
		is.NoErr(payload.Check(iotest.OneByteReader(bytes.NewReader(own)), "a", n))
		is.True(errors.Is(payload.Check(bytes.NewReader(append(own, 0)), "a", n), payload.ErrWrongContent))
		if n == 0 {
			continue
		}
		is.True(errors.Is(payload.Check(bytes.NewReader(own[:n-1]), "a", n), payload.ErrWrongContent))
		is.True(errors.Is(payload.Check(bytes.NewReader(content(is, "b", n)), "a", n), payload.ErrWrongContent))
	}
}

// A cut answer must not count as wrong content, nor wrong content as a cut
// answer. Check therefore must not treat the error by which the transport
// reports a cut answer as the end of the body.
func TestCheckReturnsReaderError(t *testing.T) {
	is := is.New(t)
	broken := errors.New("connection reset")
	r := io.MultiReader(bytes.NewReader(content(is, "a", 10)), iotest.ErrReader(broken))
	is.True(errors.Is(payload.Check(r, "a", 20), broken))
	cut := io.MultiReader(bytes.NewReader(content(is, "a", 10)), iotest.ErrReader(io.ErrUnexpectedEOF))
	is.True(errors.Is(payload.Check(cut, "a", 20), io.ErrUnexpectedEOF))
}
