package target

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBucketBoundsContainTheirValues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "d"))
		i := bucket(d)
		if d >= bucketUpper(i) || (i > 0 && d < bucketUpper(i-1)) {
			rt.Fatalf("%v is in bucket %d, up to %v", d, i, bucketUpper(i))
		}
	})
}

func TestQuantiles(t *testing.T) {
	is := is.New(t)
	var q Quantiles
	is.Equal(q.P99(), time.Duration(0))
	for i := range 6000 {
		q.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	is.True(q.P95() >= 95*time.Millisecond && q.P95() < 119*time.Millisecond)
	is.True(q.P99() >= 99*time.Millisecond && q.P99() < 124*time.Millisecond)
}

// Guards against a target that was slow once never being used again: without
// requests, only time corrects its average.
func TestMeanReturnsToUsualLatency(t *testing.T) {
	is := is.New(t)
	var m Mean
	m.Observe(0, time.Second)
	is.Equal(m.At(0, 1e7), 1e9)
	is.True(m.At(clock.Time(time.Minute), 1e7) < 1e8)
}

// Guards against using a target that fails its requests although it reports
// that it is healthy: three failures in a row eject it, a failed test prolongs
// the ejection, and two passed tests end it.
func TestOutlier(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var o Outlier
	is.True(!o.Failed())
	is.True(!o.Failed())
	is.True(o.Failed())
	o.Eject(0, rng)
	is.Equal(o.State(), Ejected)
	is.True(o.Until() <= clock.Time(minEjection))
	o.StartTesting()
	is.True(o.Failed()) // the first failed test is enough
	o.Eject(0, rng)
	is.True(o.Until() > clock.Time(minEjection))
	o.StartTesting()
	is.True(!o.Answered(1))
	is.True(o.Answered(2))
	is.Equal(o.State(), InUse)
	is.True(o.OverridesHealthReport(3))
}

// A target that fails every other request never fails three times in a row.
func TestOutlierByShare(t *testing.T) {
	is := is.New(t)
	var o Outlier
	found := false
	for i := range 20 {
		o.Answered(clock.Time(i))
		found = found || o.Failed()
	}
	is.True(found)
}

func TestParsePolicy(t *testing.T) {
	is := is.New(t)
	for p := ExpectedWait; p <= TwoChoices; p++ {
		got, err := ParsePolicy(p.String())
		is.NoErr(err)
		is.Equal(got, p)
	}
	_, err := ParsePolicy("fastest")
	is.True(err != nil)
}
