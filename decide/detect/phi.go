package detect

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// PhiConfig configures a Phi detector.
type PhiConfig struct {
	Phi        float64       // suspicion level: minus the decimal logarithm of the probability of a longer silence
	LogNormal  bool          // fit the logarithm of the silences and the deviation above its mean, for long tails
	Gate       int64         // signs of life of the group that a silence must outlast; 0: none
	MinSilence time.Duration // shorter silences are never suspected
	MaxSilence time.Duration // longer silences are always suspected
}

// Phi suspects a member whose silence is improbable given the past silences of
// the group. It is phi accrual with exponentially weighted moments instead of
// a window, and with one distribution for the whole group, since connections
// to one target, and targets of one service, behave alike.
//
// With a Gate, silence is counted on a clock that runs only while the group
// shows signs of life: the time between two of them counts for at most the
// bound divided by Gate. A pause or a slowdown of the whole group then causes
// no suspicion before MaxSilence, and when it ends, a member that answers a
// little after its siblings isn't suspected either. Without a Gate, the first answers that are late
// for a common reason would make many members suspected at the same time, and
// their requests would be sent again when capacity is lowest.
type Phi struct {
	config     PhiConfig
	group      group
	activeTime int64      // logical clock: nanoseconds in which the group showed signs of life
	lastHeard  clock.Time // last sign of life of any member
	zScore     float64    // Phi as a number of standard deviations
	mean       float64    // of silences in seconds, or of their logarithm
	variance   float64
	samples    int
	bound      time.Duration
}

const (
	// phiMeanSamples is about how many silences the mean covers. It is small,
	// so that a change of speed soon changes the mean instead of counting as
	// a deviation.
	phiMeanSamples = 64
	// phiVarianceSamples is about how many silences the variance covers. With
	// much fewer the bound would jump with each long answer.
	phiVarianceSamples = 512
	// phiMinSamples is the number of samples from which on the fit is used.
	phiMinSamples = 8
	// phiMinDeviation is the minimum standard deviation, as a share of the
	// mean or in units of the logarithm. Without it, members of a group with
	// constant latency would be suspected at the first jitter.
	phiMinDeviation = 0.1
	// phiSharedDeviations limits the samples of a silence that the whole group
	// shared, in standard deviations above the mean.
	phiSharedDeviations = 2
	// phiRecheckDivisor divides the bound into the time after which Due has a
	// silence checked again, since the bound may have fallen meanwhile.
	phiRecheckDivisor = 4
)

// NewPhi returns a detector for one group.
func NewPhi(c PhiConfig) *Phi {
	tail := math.Pow(10, -c.Phi)
	z := math.Sqrt2 * math.Erfcinv(2*tail)
	return &Phi{config: c, zScore: z, bound: c.MaxSilence}
}

// Sent implements Detector.
func (p *Phi) Sent(now clock.Time, id ID) { p.group.addOwed(now, id, p.activeTimeAt(now)) }

// Heard implements Detector.
func (p *Phi) Heard(now clock.Time, id ID) {
	if p.group.owesAnswer(id) {
		p.addSample(p.sampleSilence(now, id))
	}
	p.activeTime = p.activeTimeAt(now)
	p.lastHeard = now
	p.group.endSilence(now, id, p.activeTime)
}

// Done implements Detector.
func (p *Phi) Done(now clock.Time, id ID) {
	p.Heard(now, id)
	p.group.removeOwed(now, id, p.activeTime)
}

// Abandoned implements Detector.
func (p *Phi) Abandoned(now clock.Time, id ID) { p.group.removeOwed(now, id, p.activeTimeAt(now)) }

// Suspect implements Detector.
func (p *Phi) Suspect(now clock.Time, id ID) bool {
	silence := p.group.silence(now, id)
	if silence > p.config.MaxSilence {
		return true
	}
	return silence > p.bound && p.activeSilence(now, id) > p.bound
}

// Due implements Detector. A silence that exceeds the bound but not yet the Gate
// is checked again every pollInterval. A shorter one is checked again before it
// reaches the bound, since the bound may fall.
func (p *Phi) Due(now clock.Time, id ID) clock.Time {
	if !p.group.owesAnswer(id) {
		return clock.Never
	}
	if p.Suspect(now, id) {
		return now
	}
	latest := p.group.boundPassedAt(now, id, p.config.MaxSilence)
	soon := clock.Min(p.group.boundPassedAt(now, id, p.bound), now.Add(p.bound/phiRecheckDivisor))
	return clock.Min(latest, max(soon, now.Add(pollInterval)))
}

// Forget implements Detector.
func (p *Phi) Forget(id ID) { p.group.forget(id) }

// Bound returns the silence above which a member is suspected if its siblings
// answer meanwhile.
func (p *Phi) Bound() time.Duration { return p.bound }

// activeTimeAt returns the reading of the logical clock at now.
func (p *Phi) activeTimeAt(now clock.Time) int64 {
	since := now.Sub(p.lastHeard)
	if p.config.Gate > 0 {
		since = min(since, p.bound/time.Duration(p.config.Gate))
	}
	return p.activeTime + int64(since)
}

// activeSilence returns the part of id's silence in which the group showed signs
// of life.
func (p *Phi) activeSilence(now clock.Time, id ID) time.Duration {
	return time.Duration(p.group.lag(p.activeTimeAt(now), id))
}

// sampleSilence returns the silence of id that ends now as a sample for the fit.
// If the whole group shared the silence, it counts only up to
// phiSharedDeviations above the mean. Otherwise one pause would raise the bound
// to the maximum for hundreds of answers, and a connection lost meanwhile would
// be detected late.
func (p *Phi) sampleSilence(now clock.Time, id ID) time.Duration {
	silence := p.group.silence(now, id)
	if p.config.Gate == 0 || p.samples < phiMinSamples {
		return silence
	}
	return min(silence, max(p.activeSilence(now, id), p.fittedSilence(phiSharedDeviations)))
}

// addSample adds an ended silence to the moments and updates the bound.
func (p *Phi) addSample(silence time.Duration) {
	x := max(silence, time.Microsecond).Seconds()
	if p.config.LogNormal {
		x = math.Log(x)
	}
	p.samples++
	first := 1 / float64(p.samples)
	delta := x - p.mean
	p.mean += float64(max(1.0/phiMeanSamples, first) * delta)
	weight := max(1.0/phiVarianceSamples, first)
	if delta >= 0 || !p.config.LogNormal {
		p.variance = float64((1 - weight) * (p.variance + float64(weight*delta*delta)))
	}
	p.bound = p.fittedSilence(p.zScore)
}

// fittedSilence returns the silence that is the given number of standard
// deviations above the mean. The explicit conversions keep the compiler from
// fusing operations, so that golden sessions give the same output on every
// machine.
func (p *Phi) fittedSilence(deviations float64) time.Duration {
	if p.samples < phiMinSamples {
		return p.config.MaxSilence
	}
	deviation := math.Sqrt(p.variance)
	var seconds float64
	if p.config.LogNormal {
		seconds = math.Exp(p.mean + float64(deviations*max(deviation, phiMinDeviation)))
	} else {
		seconds = p.mean + float64(deviations*max(deviation, float64(phiMinDeviation*p.mean)))
	}
	seconds = min(seconds, p.config.MaxSilence.Seconds())
	return max(p.config.MinSilence, time.Duration(seconds*float64(time.Second)))
}
