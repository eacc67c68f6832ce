package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
)

const start = clock.Time(time.Hour)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against a target that is avoided for good: without requests it states nothing.
func TestFactorDecaysToUsual(t *testing.T) {
	is := is.New(t)
	var e Estimate
	is.True(!e.Known())
	is.Equal(e.Factor(start), 1.0)
	e.Observe(start, 250)
	is.True(e.Known())
	is.True(near(e.Factor(start), 2.5))
	is.True(near(e.Factor(start.Add(-time.Second)), 2.5))
	is.True(near(e.Factor(start.Add(HalfLife)), 1.75))
	is.True(e.Factor(start.Add(10*time.Second)) < 1.0001)
	e.Observe(start.Add(time.Second), 100) // replaces the earlier statement
	is.Equal(e.Factor(start.Add(time.Second)), 1.0)
	e.Observe(start.Add(time.Second), 50)
	is.True(near(e.Factor(start.Add(time.Second+HalfLife)), 0.75))
}

// Guards against a target that is preferred or excluded because of a value that no
// machine's pace can have.
func TestInvalidPacesAreIgnored(t *testing.T) {
	is := is.New(t)
	for _, percent := range []int{0, -1, MaxPercent + 1, math.MaxInt, math.MinInt} {
		var e Estimate
		e.Observe(start, percent)
		is.True(!e.Known())
		is.Equal(MeanFactor(percent, time.Second), 1.0)
		e.Observe(start, 250)
		e.Observe(start, percent)
		is.True(near(e.Factor(start), 2.5)) // the valid statement stays in force
	}
}

// Guards against long work that seems much shorter than it is because it ended on a busy
// machine. Its mean factor must be that of the decayed factors over its time.
func TestMeanFactorOfWork(t *testing.T) {
	is := is.New(t)
	is.True(near(MeanFactor(250, 0), 2.5))
	is.Equal(MeanFactor(AsUsual, time.Second), 1.0)
	var e Estimate
	e.Observe(start, 250)
	for _, took := range []time.Duration{time.Millisecond, HalfLife, 5 * time.Second} {
		const steps = 10_000
		sum := 0.0
		for i := range steps {
			sum += e.Factor(start.Add(took * time.Duration(2*i+1) / (2 * steps)))
		}
		is.True(math.Abs(MeanFactor(250, took)-sum/steps) < 1e-6)
	}
}
