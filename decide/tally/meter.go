package tally

import (
	"math"
	"math/bits"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// meterInterval is the time that one cell of a Meter covers.
	meterInterval = time.Second
	// meterIntervals is the number of whole cells that rates and latencies are
	// taken over.
	meterIntervals = 5
	// LoadWindow is the window of the load in evidence. It is short, so that
	// errors over their bound must last for several of them.
	LoadWindow = 2 * meterInterval
	// maxServices bounds the services that a Meter follows; the load of others
	// is missing.
	maxServices = 64
)

// latencyBuckets is the number of latency buckets. Bucket 0 reaches to
// 0.125 ms, each further one 14% to 25% above the one before, and the last one
// holds all above 24 s.
const latencyBuckets = 72

// firstBucketBound is where the buckets begin.
const firstBucketBound = 125 * time.Microsecond

// latencyBucket returns the bucket of a latency: four of equal width from each
// power of two to the next.
func latencyBucket(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	u := uint64(d-1) * 4 / uint64(firstBucketBound) // quarters of the unit, at least 4
	exp := bits.Len64(u) - 3
	b := 4*exp + int(u>>exp) - 4
	return min(b+1, latencyBuckets-1)
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(b int) time.Duration {
	if b == 0 {
		return firstBucketBound
	}
	exp, quarter := (b-1)/4, (b-1)%4
	return firstBucketBound * time.Duration(5+quarter) << exp / 4
}

// intervalStats is what one service did in one cellLength.
type intervalStats struct {
	answers   uint64
	failed    uint64
	inFlight  uint64 // sum over samples
	samples   uint64
	latencies [latencyBuckets]uint32
}

func (c *intervalStats) add(o *intervalStats) {
	c.answers += o.answers
	c.failed += o.failed
	c.inFlight += o.inFlight
	c.samples += o.samples
	for i, n := range o.latencies {
		c.latencies[i] += n
	}
}

// serviceSeries is one service's recent cells, indexed by their number modulo its
// length.
type serviceSeries struct {
	last      Sample // latest; Capacity 0 without targets
	intervals [meterIntervals + 1]intervalStats
}

// Meter measures rate, failures and latency of each service at one entry VM
// over the last seconds. After the first request of a service it allocates
// nothing. It is not safe for concurrent use.
type Meter struct {
	startedAt       clock.Time
	observedAt      clock.Time // when load was last observed
	currentInterval int64      // number of the cell that is being filled
	services        map[fleet.ServiceName]*serviceSeries
}

// NewMeter returns a Meter that has seen nothing before now.
func NewMeter(now clock.Time) *Meter {
	return &Meter{startedAt: now, currentInterval: intervalOf(now), services: make(map[fleet.ServiceName]*serviceSeries)}
}

func intervalOf(t clock.Time) int64 { return int64(t) / int64(meterInterval) }

// advance empties the cells of the time since the last call.
func (m *Meter) advance(now clock.Time) {
	to := intervalOf(now)
	if to <= m.currentInterval {
		return
	}
	from := max(m.currentInterval+1, to-meterIntervals)
	for _, s := range m.services {
		for n := from; n <= to; n++ {
			*s.interval(n) = intervalStats{}
		}
	}
	m.currentInterval = to
	m.dropIdle()
}

// dropIdle makes room, once maxServices are followed, by dropping services with
// neither targets nor answers. Without it a process that outlives many services
// could not follow new ones: their load would be missing, and shifts would
// hold.
func (m *Meter) dropIdle() {
	if len(m.services) < maxServices {
		return
	}
	for name, s := range m.services {
		if *s == (serviceSeries{}) {
			delete(m.services, name)
		}
	}
}

func (s *serviceSeries) interval(n int64) *intervalStats {
	return &s.intervals[n%int64(len(s.intervals))]
}

func (m *Meter) series(name fleet.ServiceName) *serviceSeries {
	s := m.services[name]
	if s == nil && len(m.services) < maxServices {
		s = &serviceSeries{}
		m.services[name] = s
	}
	return s
}

// Answered counts the final answer of a request that was served by targets of
// the own failure domain, or refused here. ok says that it was not a failure.
func (m *Meter) Answered(now clock.Time, service fleet.ServiceName, latency time.Duration, ok bool) {
	m.advance(now)
	s := m.series(service)
	if s == nil {
		return
	}
	c := s.interval(m.currentInterval)
	c.answers++
	c.latencies[latencyBucket(latency)]++
	if !ok {
		c.failed++
	}
}

// observe takes the present load of all services with targets.
func (m *Meter) observe(now clock.Time, samples []Sample) {
	m.advance(now)
	m.observedAt = now
	for _, s := range m.services {
		s.last = Sample{}
	}
	for _, sample := range samples {
		s := m.series(sample.Service)
		if s == nil {
			continue
		}
		s.last = sample
		c := s.interval(m.currentInterval)
		c.inFlight += uint64(sample.InFlight)
		c.samples++
	}
}

// Rate is what a Meter has measured of one service.
type Rate struct {
	Answers uint32          // a second
	Errors  catalogue.Share // failed part of the answers
	P99     time.Duration
}

// Rate returns the figures of the last seconds; zero if there were no answers.
func (m *Meter) Rate(now clock.Time, service fleet.ServiceName) Rate {
	m.advance(now)
	s := m.services[service]
	if s == nil {
		return Rate{}
	}
	w := s.sumIntervals(m.currentInterval, meterIntervals)
	if w.answers == 0 {
		return Rate{}
	}
	return Rate{
		Answers: uint32(math.Ceil(float64(w.answers) / m.coveredSeconds(meterIntervals))),
		Errors:  shareRoundedUp(w.failed, w.answers),
		P99:     p99(w.latencies[:]),
	}
}

// coveredSeconds returns the seconds of the last n whole cells since the Meter began.
func (m *Meter) coveredSeconds(n int) float64 {
	end := clock.Time(m.currentInterval * int64(meterInterval))
	length := min(end.Sub(m.startedAt), time.Duration(n)*meterInterval)
	return max(length, meterInterval).Seconds()
}

// sumIntervals sums the last n whole cells before the one being filled.
func (s *serviceSeries) sumIntervals(current int64, n int64) intervalStats {
	var w intervalStats
	for i := max(current-n, 0); i < current; i++ {
		w.add(s.interval(i))
	}
	return w
}

// loads appends the load of the given services over the last LoadWindow. It
// reports false if the Meter doesn't cover that window, or has observed no load
// in it: a region whose targets aren't known yet would seem to have none.
func (m *Meter) loads(now clock.Time, services []fleet.ServiceName, out []LoadRow) ([]LoadRow, bool) {
	m.advance(now)
	since, _ := m.loadSpan()
	if since.Before(m.startedAt) || m.observedAt.Before(since) {
		return out, false
	}
	for _, name := range services {
		s := m.services[name]
		if s == nil && len(m.services) == maxServices {
			continue // it may have targets that aren't followed
		}
		if s == nil {
			out = append(out, LoadRow{Service: serviceKey(name), VMs: 1})
			continue
		}
		w := s.sumIntervals(m.currentInterval, int64(LoadWindow/meterInterval))
		out = append(out, s.loadRow(name, &w))
	}
	return out, true
}

// loadSpan returns the bounds of the last LoadWindow.
func (m *Meter) loadSpan() (since, until clock.Time) {
	until = clock.Time(m.currentInterval * int64(meterInterval))
	return until.Add(-LoadWindow), until
}

func (s *serviceSeries) loadRow(name fleet.ServiceName, w *intervalStats) LoadRow {
	r := LoadRow{
		Service:  serviceKey(name),
		VMs:      1,
		Capacity: s.last.Capacity,
		InFlight: saturateUint32(uint64(s.last.InFlight) * inFlightUnit),
		Answers:  w.answers,
		Failed:   w.failed,
		Warming:  s.last.Warming,
	}
	if w.samples > 0 {
		r.InFlight = saturateUint32(w.inFlight * inFlightUnit / w.samples)
	}
	var buckets [latencyBuckets]uint64
	for i, n := range w.latencies {
		buckets[i] = uint64(n)
	}
	r.Latencies = appendPacked(nil, buckets[:])
	return r
}

// inFlightUnit is the unit of LoadRow.InFlight.
const inFlightUnit = 1000

// shareRoundedUp returns n of total, rounded up so that a failure is never lost.
func shareRoundedUp(n, total uint64) catalogue.Share {
	if total == 0 {
		return 0
	}
	return catalogue.Share((n*catalogue.ShareUnit + total - 1) / total)
}

// p99 returns the upper bound of the bucket that 99% of the answers don't
// exceed.
func p99[T uint32 | uint64](buckets []T) time.Duration {
	var total, seen uint64
	for _, n := range buckets {
		total += uint64(n)
	}
	if total == 0 {
		return 0
	}
	for b, n := range buckets {
		seen += uint64(n)
		if seen*100 >= total*99 {
			return bucketUpperBound(b)
		}
	}
	return bucketUpperBound(len(buckets) - 1)
}
