package admission

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

const (
	// observedTime is the period over which rates are measured, and windowSteps the
	// number of equal parts in which it is recorded.
	observedTime = time.Second
	windowSteps  = 8
	windowStep   = observedTime / windowSteps
)

// window sums amounts over about the last observedTime.
type window struct {
	amounts [windowSteps]float64
	step    int64 // the latest step with an amount
}

func (w *window) advance(now clock.Time) {
	step := int64(now) / int64(windowStep)
	for range min(step-w.step, windowSteps) {
		w.step++
		w.amounts[w.step%windowSteps] = 0
	}
	if step > w.step { // a gap longer than the window; everything is 0
		w.step = step
	}
}

func (w *window) add(now clock.Time, amount float64) {
	w.advance(now)
	w.amounts[w.step%windowSteps] += amount
}

func (w *window) sum(now clock.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, a := range w.amounts {
		sum += a
	}
	return sum
}

// sustained returns the rate per second that both halves of the window have reached. A
// single burst does not count as a rate.
func (w *window) sustained(now clock.Time) float64 {
	w.advance(now)
	var halves [2]float64
	for age := range int64(windowSteps) {
		halves[age/(windowSteps/2)] += w.amounts[(w.step-age+windowSteps)%windowSteps]
	}
	return min(halves[0], halves[1]) / (observedTime / 2).Seconds()
}

// addTime adds the seconds from one time to another, each to its step.
func (w *window) addTime(from, to clock.Time) {
	from = max(from, to.Add(-observedTime))
	for from.Before(to) {
		end := clock.Min(to, clock.Time((int64(from)/int64(windowStep)+1)*int64(windowStep)))
		w.add(from, end.Sub(from).Seconds())
		from = end
	}
}
