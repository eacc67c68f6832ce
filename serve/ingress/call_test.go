package ingress

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
)

// Guards against a target that appears to be full without having reported it:
// its load field has fewer than three numbers, and the last number is used for
// the missing ones too.
func TestParseLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(parseLoad("1,2,3"), ingress.Load{Known: true, Running: 1, Waiting: 2, Slots: 3})
	for _, v := range []string{"", "9", "1,2", "1,,3", "1,2,x", "-1,2,3", "1, 2,3"} {
		is.Equal(parseLoad(v), ingress.Load{})
	}
}
