package detect_test

import (
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/detect/detecttest"
	"github.com/azurethread/azurethread/decide/target"
)

const ms = time.Millisecond

type candidate struct {
	name string
	make func() detect.Detector
}

func fixed(name string, d time.Duration) candidate {
	return candidate{name, func() detect.Detector { return detect.NewFixed(d) }}
}

func phi(name string, c detect.PhiConfig) candidate {
	return candidate{name, func() detect.Detector { return detect.NewPhi(c) }}
}

func relative(name string, c detect.RelativeConfig) candidate {
	return candidate{name, func() detect.Detector { return detect.NewRelative(c) }}
}

func answerCandidates() []candidate {
	maxAnswerSilence := 3 * time.Second
	classic := detect.PhiConfig{Phi: 8, MinSilence: 20 * ms, MaxSilence: maxAnswerSilence}
	long := classic
	long.LogNormal = true
	lag := detect.RelativeConfig{Bound: 8, BoundMax: 256, MinSilence: 20 * ms, MaxSilence: maxAnswerSilence}
	return []candidate{
		fixed("fixed-250ms", 250*ms), fixed("fixed-1s", time.Second), fixed("fixed-3s", maxAnswerSilence),
		phi("phi", classic), phi("phi-long-tail", long),
		relative("relative", lag),
		{"tail-3", func() detect.Detector { return newP99Multiple(3) }},
		{"tail-6", func() detect.Detector { return newP99Multiple(6) }},
		{"default", func() detect.Detector { return detect.ForAnswers(maxAnswerSilence) }},
	}
}

// p99Multiple suspects a member that is silent for a multiple of the group's p99
// latency, between 200 ms (at a factor of 3) and 5 s, if a sibling was heard
// since. Otherwise it waits for the bound once more. It is scored for comparison.
type p99Multiple struct {
	factor    int
	quantiles target.Quantiles
	lastHeard clock.Time // last sign of life of any member
	members   map[detect.ID]*p99MultipleMember
}

type p99MultipleMember struct {
	silentSince clock.Time // start of the silence
	checkAt     clock.Time // when the member is checked next
	owed        int
}

func newP99Multiple(factor int) *p99Multiple {
	return &p99Multiple{factor: factor, members: make(map[detect.ID]*p99MultipleMember)}
}

func (t *p99Multiple) member(id detect.ID) *p99MultipleMember {
	m := t.members[id]
	if m == nil {
		m = new(p99MultipleMember)
		t.members[id] = m
	}
	return m
}

func (t *p99Multiple) bound() time.Duration {
	p99 := t.quantiles.P99()
	if p99 == 0 {
		return time.Second
	}
	return min(max(time.Duration(t.factor)*p99, time.Duration(t.factor)*200*ms/3), 5*time.Second)
}

func (t *p99Multiple) Sent(now clock.Time, id detect.ID) {
	m := t.member(id)
	if m.owed == 0 {
		m.silentSince, m.checkAt = now, now.Add(t.bound())
	}
	m.owed++
}

func (t *p99Multiple) Heard(now clock.Time, id detect.ID) {
	m := t.member(id)
	if m.owed > 0 {
		t.quantiles.Observe(now.Sub(m.silentSince))
	}
	m.silentSince, m.checkAt = now, now.Add(t.bound())
	t.lastHeard = now
}

func (t *p99Multiple) Done(now clock.Time, id detect.ID) {
	t.Heard(now, id)
	t.Abandoned(now, id)
}

func (t *p99Multiple) Abandoned(now clock.Time, id detect.ID) {
	m := t.member(id)
	m.owed = max(m.owed-1, 0)
}

func (t *p99Multiple) Suspect(now clock.Time, id detect.ID) bool {
	m := t.member(id)
	return m.owed > 0 && now >= m.checkAt && t.lastHeard > m.silentSince
}

func (t *p99Multiple) Due(now clock.Time, id detect.ID) clock.Time {
	m := t.member(id)
	if m.owed == 0 {
		return clock.Never
	}
	if now >= m.checkAt && !t.Suspect(now, id) {
		m.checkAt = now.Add(t.bound())
	}
	return max(m.checkAt, now)
}

func (t *p99Multiple) Forget(id detect.ID) { delete(t.members, id) }

func peerCandidates() []candidate {
	maxPeerSilence := 6 * time.Second
	rounds := detect.RelativeConfig{Pace: detect.ByRound, Bound: 3, BoundMax: 8, MinSilence: 500 * ms, MaxSilence: maxPeerSilence}
	classic := detect.PhiConfig{Phi: 8, MinSilence: 500 * ms, MaxSilence: maxPeerSilence}
	gated := classic
	gated.Gate = 16
	return []candidate{
		fixed("fixed-1.5s", 1500*ms), fixed("fixed-2.5s", 2500*ms), fixed("fixed-6s", maxPeerSilence),
		phi("phi", classic), phi("phi-gate", gated),
		relative("relative", rounds),
		{"default", func() detect.Detector { return detect.ForHeartbeats(500 * ms) }},
	}
}

// seeds is the number of traces on which each scenario is scored.
const seeds = 5

// BenchmarkCompare scores every candidate on the same traces:
// go test -bench Compare -benchtime 1x ./decide/detect
func BenchmarkCompare(b *testing.B) {
	compare(b, detecttest.Connections(), answerCandidates())
	compare(b, detecttest.Targets(), answerCandidates())
	compare(b, detecttest.Peers(), peerCandidates())
	for _, trace := range readRecordedTraces(b) {
		compareOn(b, []detecttest.Trace{trace}, answerCandidates())
	}
}

func compare(b *testing.B, sources []detecttest.Source, candidates []candidate) {
	for _, source := range sources {
		var traces []detecttest.Trace
		for seed := range uint64(seeds) {
			traces = append(traces, source.Generate(seed))
		}
		compareOn(b, traces, candidates)
	}
}

func compareOn(b *testing.B, traces []detecttest.Trace, candidates []candidate) {
	for _, c := range candidates {
		b.Run(traces[0].Name+"/"+c.name, func(b *testing.B) { score(b, traces, c) })
	}
}

func score(b *testing.B, traces []detecttest.Trace, c candidate) {
	var result detecttest.Result
	for b.Loop() {
		result = detecttest.Result{}
		for _, trace := range traces {
			result.Add(detecttest.Score(c.make(), trace))
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(result.Quantile(0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(result.Quantile(0.99).Milliseconds()), "p99-ms")
	b.ReportMetric(float64(result.Undetected), "open")
	b.ReportMetric(result.FalsePerHour(), "false/h")
	b.ReportMetric(result.FalsePerThousand(), "false/1000")
}

// BenchmarkRequest measures the cost of one answered request: Sent, Due, Done.
func BenchmarkRequest(b *testing.B) {
	for _, c := range answerCandidates() {
		b.Run(c.name, func(b *testing.B) {
			d := c.make()
			now, id := start, detect.ID(0)
			b.ReportAllocs()
			for b.Loop() {
				d.Sent(now, id)
				d.Due(now, id)
				now = now.Add(10 * ms)
				d.Done(now, id)
				id = (id + 1) % 330
			}
		})
	}
}

// BenchmarkHeartbeat measures the cost of one heartbeat among 940 peers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range peerCandidates() {
		b.Run(c.name, func(b *testing.B) {
			d := c.make()
			now, id := start, detect.ID(0)
			for peer := range detect.ID(940) {
				d.Sent(now, peer)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(ms / 2)
				d.Heard(now, id)
				d.Due(now, id)
				id = (id + 1) % 940
			}
		})
	}
}
