package detect

import (
	"math"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// PhiConfig sets a Phi detector.
type PhiConfig struct {
	Phi        float64       // suspicion level: minus the decimal logarithm of the chance of a longer silence
	LogNormal  bool          // fit the logarithm of the silences and the deviation above its mean, for long tails
	Gate       int64         // answers of siblings needed besides before a suspicion; 0: none
	MinSilence time.Duration // shorter silences are never suspected
	MaxSilence time.Duration // longer silences are suspected whatever the fit
}

// Phi suspects a member whose silence is improbable given the silences that
// the group has shown. It is phi accrual with exponentially weighted moments
// in place of a window, and one distribution for the whole group: connections
// to one target, and targets of one service, are alike.
//
// With a Gate, siblings must also have answered requests sent later. A pause
// or a slowdown of the whole group then raises no suspicion before MaxSilence.
// Without a Gate, the first answers that are late for a reason common to all
// would get many members suspected together, and what they carried would be
// sent again when capacity is shortest.
type Phi struct {
	config   PhiConfig
	group    group
	z        float64 // Phi as a number of standard deviations
	mean     float64 // of silences in seconds, or of their logarithm
	variance float64
	samples  int
	bound    time.Duration
}

const (
	// phiMemory is about how many silences the moments remember. Much fewer
	// make the bound jump with each long answer; many more make it slow to
	// follow a change of speed.
	phiMemory = 512
	// phiWarm samples are taken before the fit is used.
	phiWarm = 8
	// phiMinDeviation is the least standard deviation, as a share of the mean
	// or in units of the logarithm: without it, a steady group would be
	// suspected at the first jitter.
	phiMinDeviation = 0.1
	// phiRecheck is the part of the bound after which Due has a silence
	// looked at again, since the bound may have fallen meanwhile.
	phiRecheck = 4
)

// NewPhi returns a detector for one group.
func NewPhi(c PhiConfig) *Phi {
	tail := math.Pow(10, -c.Phi)
	z := math.Sqrt2 * math.Erfcinv(2*tail)
	return &Phi{config: c, z: z, bound: c.MaxSilence}
}

// Sent implements Detector.
func (p *Phi) Sent(now clock.Time, id ID) { p.group.sent(now, id, p.mark()) }

// Heard implements Detector.
func (p *Phi) Heard(now clock.Time, id ID) {
	if p.group.waiting(id) {
		p.learn(p.sample(now, id))
	}
	p.group.tick++
	p.group.heard(now, id, p.mark())
}

// Done implements Detector.
func (p *Phi) Done(now clock.Time, id ID) {
	p.Heard(now, id)
	p.group.settle(now, id)
}

// Abandoned implements Detector.
func (p *Phi) Abandoned(now clock.Time, id ID) { p.group.settle(now, id) }

// Suspect implements Detector.
func (p *Phi) Suspect(now clock.Time, id ID) bool {
	silence := p.group.silence(now, id)
	if silence > p.config.MaxSilence {
		return true
	}
	return silence > p.bound && p.group.lag(id) >= p.config.Gate
}

// Due implements Detector. A silence past Bound that waits for the Gate is
// looked at again every poll, a shorter one as the bound may fall.
func (p *Phi) Due(now clock.Time, id ID) clock.Time {
	if !p.group.waiting(id) {
		return clock.Never
	}
	if p.Suspect(now, id) {
		return now
	}
	latest := p.group.due(now, id, p.config.MaxSilence)
	soon := clock.Min(p.group.due(now, id, p.bound), now.Add(p.bound/phiRecheck))
	return clock.Min(latest, max(soon, now.Add(poll)))
}

// Forget implements Detector.
func (p *Phi) Forget(id ID) { p.group.forget(id) }

// Bound returns the silence from which a member is suspected, if its siblings
// answer meanwhile.
func (p *Phi) Bound() time.Duration { return p.bound }

// sample returns the silence of id that ends now, as far as it tells what is
// usual. What siblings shared, as the Gate shows, counts up to the bound only:
// else one pause of the group would raise the bound to the maximum for hundreds
// of answers, and a connection lost meanwhile would be noticed late.
func (p *Phi) sample(now clock.Time, id ID) time.Duration {
	silence := p.group.silence(now, id)
	if p.config.Gate > 0 && p.group.lag(id) < p.config.Gate {
		return min(silence, p.bound)
	}
	return silence
}

// learn takes a silence that ended into the moments.
func (p *Phi) learn(silence time.Duration) {
	x := max(silence, time.Microsecond).Seconds()
	if p.config.LogNormal {
		x = math.Log(x)
	}
	p.samples++
	weight := max(1.0/phiMemory, 1/float64(p.samples))
	delta := x - p.mean
	p.mean += float64(weight * delta)
	if delta >= 0 || !p.config.LogNormal {
		p.variance = float64((1 - weight) * (p.variance + float64(weight*delta*delta)))
	}
	p.bound = p.fit()
}

// fit returns the silence that is longer than all but 10^-Phi of silences.
// The explicit conversions keep a compiler from fusing operations, so that
// recorded sessions read the same on every machine.
func (p *Phi) fit() time.Duration {
	if p.samples < phiWarm {
		return p.config.MaxSilence
	}
	deviation := math.Sqrt(p.variance)
	var seconds float64
	if p.config.LogNormal {
		seconds = math.Exp(p.mean + float64(p.z*max(deviation, phiMinDeviation)))
	} else {
		seconds = p.mean + float64(p.z*max(deviation, float64(phiMinDeviation*p.mean)))
	}
	seconds = min(seconds, p.config.MaxSilence.Seconds())
	return max(p.config.MinSilence, time.Duration(seconds*float64(time.Second)))
}

// mark returns the logical instant from which lag counts: past the answers to
// requests that are already under way.
func (p *Phi) mark() int64 { return p.group.tick + p.group.owed }
