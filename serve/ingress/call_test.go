package ingress

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/peer"
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

// Guards against a target whose load is lost because it states no pace, or one that cannot
// be read. The pace is optional.
func TestParsePace(t *testing.T) {
	is := is.New(t)
	for v, percent := range map[string]int{
		"1,2,3,100": 100, "1,2,3,250": 250, "1,2,3,1": 1, "1,2,3,10000": 10_000, "1,2,3,250,9,x": 250,
		"1,2,3,": 0, "1,2,3,0": 0, "1,2,3,-250": 0, "1,2,3,10001": 0, "1,2,3,99999999999999999999": 0,
		"1,2,3,2.5": 0, "1,2,3,fast": 0, "1,2,3, 250": 0, "1,2,3,,250": 0,
	} {
		is.Equal(parseLoad(v), ingress.Load{Known: true, Running: 1, Waiting: 2, Slots: 3, Pace: percent}) // v
	}
	is.Equal(parseLoad("1,2,,250"), ingress.Load{})
}

// Guards against reports that entry VMs of an earlier version cannot decode, and against
// another number for the message that states the pace.
func TestPaceHasItsOwnMessage(t *testing.T) {
	is := is.New(t)
	report := ingress.Report{ID: 1, Result: ingress.ResultServed, Took: time.Second, Load: ingress.Load{Known: true, Running: 1, Slots: 3}}
	older, err := peer.Encode(kindReport, &report)
	is.NoErr(err)
	report.Load.Pace = 250
	b, err := peer.Encode(kindReport, &report)
	is.NoErr(err)
	is.Equal(b, older)

	stated := ingress.TargetPace{Target: "t", StartedAt: 7, Percent: 250}
	kind := kindsByMessage[reflect.TypeOf(&stated)]
	is.Equal(kind, peer.Kind(171))
	b, err = peer.Encode(kind, &stated)
	is.NoErr(err)
	got := messagesByKind[kind]()
	is.NoErr(peer.Decode(b, peer.MaxBody, got))
	is.Equal(got, ingress.Message(&stated))
}
