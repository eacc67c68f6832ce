package shift

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
)

// drainPolicy advances the share of a drain. The policies with which the Runner
// is compared use no figures.
type drainPolicy struct {
	name  string
	share func(since, interval time.Duration) catalogue.Share // nil: the Runner decides
}

// drainStep is the step of every policy but all-at-once.
const drainStep catalogue.Share = 1000

var drainPolicies = []drainPolicy{
	{"proof", nil},
	{"fixed-steps", func(d, interval time.Duration) catalogue.Share {
		return catalogue.Share(min(int(drainStep)*(1+int(d/interval)), catalogue.ShareUnit))
	}},
	{"all-at-once", func(_, _ time.Duration) catalogue.Share { return catalogue.ShareUnit }},
}

// BenchmarkDrain drains one region of three in the world model, in virtual
// time: run it with -benchtime 1x. Metrics: the highest load of a receiver in
// percent of its capacity, the part of the region's load that is moved after
// 20 minutes, and the time until that part, less 1% of the load, had moved.
func BenchmarkDrain(b *testing.B) {
	for _, d := range drainCases() {
		for _, p := range drainPolicies {
			b.Run(d.String()+"/"+p.name, func(b *testing.B) {
				for b.Loop() {
					drain(b, p, d)
				}
			})
		}
	}
}

// drainCase is one row of the benchmark.
type drainCase struct {
	headroom catalogue.Share
	load     int // percent of capacity, the same in every region
	interval time.Duration
	lag      time.Duration // age of reports
}

func (d drainCase) String() string {
	return fmt.Sprintf("headroom=%d/load=%d/interval=%s/lag=%s", d.headroom, d.load, d.interval, d.lag)
}

func drainCases() (out []drainCase) {
	for _, headroom := range []catalogue.Share{500, catalogue.DefaultMinHeadroom} {
		for _, load := range []int{50, 60, 70, 80} {
			for _, interval := range []time.Duration{10 * time.Second, catalogue.DefaultInterval} {
				for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
					out = append(out, drainCase{headroom, load, interval, lag})
				}
			}
		}
	}
	return out
}

func drain(b *testing.B, p drainPolicy, d drainCase) {
	w := newWorld(7, worldBlocksPerRegion, float64(d.load)/100, 40)
	w.lag, w.noise = d.lag, 0.02
	if p.share == nil {
		w.runner("a")
	}
	w.run(15 * time.Second)
	w.startShift(catalogue.Shift{ID: "drain", From: "attiki", Limits: catalogue.Limits{
		MaxShare: catalogue.ShareUnit, Step: drainStep, MinHeadroom: d.headroom, Interval: catalogue.Duration(d.interval),
	}})
	start := w.now
	var moved []float64
	for w.now.Sub(start) < 20*time.Minute {
		if p.share != nil {
			w.setShare(p.share(w.now.Sub(start), d.interval))
		}
		w.run(time.Second)
		moved = append(moved, w.movedBy("drain"))
	}
	end := moved[len(moved)-1]
	took := 0
	for moved[took] < end-0.01 {
		took++
	}
	b.ReportMetric(100*max(w.regions[1].peak, w.regions[2].peak), "peak_%")
	b.ReportMetric(100*end, "moved_%")
	b.ReportMetric(float64(took+1), "drain_s")
	b.ReportMetric(0, "ns/op")
}

// setShare sets the share of the only shift, bypassing the Runner.
func (w *world) setShare(share catalogue.Share) {
	if w.cat.Shifts[0].Share == share {
		return
	}
	w.cat.Shifts = append([]catalogue.Shift(nil), w.cat.Shifts...)
	w.cat.Revision++
	w.cat.Shifts[0].Share = share
	w.publish()
}
