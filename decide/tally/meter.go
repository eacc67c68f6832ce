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
	// meterIntervalLength is the length of the intervals of a Meter.
	meterIntervalLength = time.Second
	// meterIntervals is the number of whole intervals that rates and latencies
	// are taken over.
	meterIntervals = 5
	// LoadWindow is the window of the load in evidence. It is short, so that
	// errors above their limit must last for several windows to have an effect.
	LoadWindow = 2 * meterIntervalLength
	// maxServices bounds the services that a Meter tracks; the load of others
	// counts as missing.
	maxServices = 64
)

// latencyBuckets is the number of latency buckets. Bucket 0 ends at 0.125 ms,
// each further one ends 14% to 25% above the one before, and the last one holds
// all latencies above 24 s.
const latencyBuckets = 72

// firstBucketBound is the upper bound of bucket 0.
const firstBucketBound = 125 * time.Microsecond

// latencyBucket returns the bucket of a latency. There are four buckets of equal
// width from each power of two times firstBucketBound to the next.
func latencyBucket(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	u := uint64(d-1) * 4 / uint64(firstBucketBound) // quarters of firstBucketBound, at least 4
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

// intervalStats holds the figures of one service in one interval.
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

// serviceSeries holds the recent intervals of one service, in a ring indexed by
// the number of the interval.
type serviceSeries struct {
	last      Sample // the latest; zero without targets
	intervals [meterIntervals + 1]intervalStats
}

// Meter measures rate, failures and latency of each service at one entry VM
// over the last seconds. It allocates only at the first request of a service.
// It is not safe for concurrent use.
type Meter struct {
	startedAt       clock.Time
	observedAt      clock.Time // when load was last observed
	currentInterval int64      // number of the interval that is being filled
	services        map[fleet.ServiceName]*serviceSeries
}

// NewMeter returns a Meter that starts at now.
func NewMeter(now clock.Time) *Meter {
	return &Meter{startedAt: now, currentInterval: intervalOf(now), services: make(map[fleet.ServiceName]*serviceSeries)}
}

func intervalOf(t clock.Time) int64 { return int64(t) / int64(meterIntervalLength) }

// advance clears the intervals that have begun since the last call.
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

// dropIdle drops services with neither targets nor answers once maxServices are
// tracked. Otherwise a process that outlives many services could not track new
// ones: their load would be missing, and shifts would hold.
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

// RecordAnswer counts the final answer to a request that was served by targets of
// the own failure domain, or refused here. ok is false for a failure.
func (m *Meter) RecordAnswer(now clock.Time, service fleet.ServiceName, latency time.Duration, ok bool) {
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

// observe records the current load of all services with targets.
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

// Rate holds the figures that a Meter has measured for one service.
type Rate struct {
	Answers uint32          // per second
	Errors  catalogue.Share // failed share of the answers
	P99     time.Duration
}

// Rate returns the figures of the last meterIntervals seconds; zero if there
// were no answers.
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

// coveredSeconds returns the seconds of the last n whole intervals, without the
// time before the Meter started.
func (m *Meter) coveredSeconds(n int) float64 {
	end := clock.Time(m.currentInterval * int64(meterIntervalLength))
	length := min(end.Sub(m.startedAt), time.Duration(n)*meterIntervalLength)
	return max(length, meterIntervalLength).Seconds()
}

// sumIntervals adds up the last n whole intervals before the current one.
func (s *serviceSeries) sumIntervals(current int64, n int64) intervalStats {
	var w intervalStats
	for i := max(current-n, 0); i < current; i++ {
		w.add(s.interval(i))
	}
	return w
}

// loads appends the load of the given services over the last LoadWindow. It
// reports false if the Meter doesn't cover that window, or has observed no load
// in it: otherwise a region that doesn't know its targets yet would appear to
// have none.
func (m *Meter) loads(now clock.Time, services []fleet.ServiceName, out []LoadRow) ([]LoadRow, bool) {
	m.advance(now)
	since, _ := m.loadSpan()
	if since.Before(m.startedAt) || m.observedAt.Before(since) {
		return out, false
	}
	for _, name := range services {
		s := m.services[name]
		if s == nil && len(m.services) == maxServices {
			continue // it may have targets that aren't tracked
		}
		if s == nil {
			out = append(out, LoadRow{Service: serviceKey(name), VMs: 1})
			continue
		}
		w := s.sumIntervals(m.currentInterval, int64(LoadWindow/meterIntervalLength))
		out = append(out, s.loadRow(name, &w))
	}
	return out, true
}

// loadSpan returns the bounds of the last LoadWindow.
func (m *Meter) loadSpan() (since, until clock.Time) {
	until = clock.Time(m.currentInterval * int64(meterIntervalLength))
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

// shareRoundedUp returns n as a share of total, rounded up so that a single
// failure doesn't become 0.
func shareRoundedUp(n, total uint64) catalogue.Share {
	if total == 0 {
		return 0
	}
	return catalogue.Share((n*catalogue.ShareUnit + total - 1) / total)
}

// p99 returns the upper bound of the bucket that holds the 99th percentile.
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
