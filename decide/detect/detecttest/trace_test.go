package detecttest_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/detect/detecttest"
)

func TestDecodeReadsWhatEncodeWrote(t *testing.T) {
	is := is.New(t)
	trace := detecttest.Connections()[0].Generate(1)
	var first, second bytes.Buffer
	is.NoErr(detecttest.Encode(&first, trace))
	text := first.String()
	read, err := detecttest.Decode(&first, trace.Name)
	is.NoErr(err)
	is.Equal(len(read.Events), len(trace.Events))
	is.NoErr(detecttest.Encode(&second, read))
	is.Equal(second.String(), text)

	_, err = detecttest.Decode(strings.NewReader("1 s 0\nnonsense\n"), "broken")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2"))
}

// Checks the scorer with a fixed timeout, for which the expected scores can be
// calculated by hand.
func TestScoreByHand(t *testing.T) {
	is := is.New(t)
	const text = `
0 s 0
1000000 d 0
2000000 s 0
2200000 x 0
2300000 s 1
5000000 d 1`
	trace, err := detecttest.Decode(strings.NewReader(strings.TrimSpace(text)), "by hand")
	is.NoErr(err)
	r := detecttest.Score(detect.NewFixed(900*time.Millisecond), trace)
	is.Equal(r.FalseSuspicions, 2)                                          // the first request, and member 1
	is.Equal(r.Quantile(0.5).Round(time.Microsecond), 700*time.Millisecond) // 2.9 s, from 2.2 s
	is.Equal(r.Undetected, 0)
	is.Equal(r.Sent, 3)
	r = detecttest.Score(detect.NewFixed(4*time.Second), trace)
	is.Equal(r.FalseSuspicions, 0)
	is.Equal(r.Undetected, 1)
	is.Equal(r.LongestUndetected, 2800*time.Millisecond)
}
