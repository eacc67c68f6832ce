package caller_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/target"
)

func directCaller(b *testing.B) (*caller.Caller, *target.Server) {
	b.Helper()
	s := target.New(target.Options{ID: "t-1", Slots: 1024})
	if err := s.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return caller.New(caller.Options{Targets: []string{s.Addr()}}), s
}

// BenchmarkDirect measures calls sent directly to a target, which is the upper
// limit of the load that the stand-ins can put on one hop.
func BenchmarkDirect(b *testing.B) {
	c, _ := directCaller(b)
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(n.Add(1), 10)
			if o := c.Do(context.Background(), caller.Request{ID: id, Service: "s", Path: "x"}); !o.Answered || o.Wrong {
				b.Errorf("%s: %+v", id, o)
			}
		}
	})
}

// BenchmarkLoad runs an open-loop load and reports its counts and latencies.
func BenchmarkLoad(b *testing.B) {
	const rate = 2000
	for b.Loop() {
		c, s := directCaller(b)
		run, err := caller.Load{
			Callers:  []*caller.Caller{c},
			Kinds:    []caller.Kind{{Service: "s", Path: "x", Weight: 1, Idempotent: true}},
			Rate:     rate,
			Duration: time.Second,
			Seed:     1,
		}.Start(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		r := run.Wait()
		b.ReportMetric(float64(r.Requests), "requests")
		b.ReportMetric(float64(r.Dropped), "dropped")
		b.ReportMetric(r.Quantile(50).Seconds()*1e3, "p50-ms")
		b.ReportMetric(r.Quantile(99).Seconds()*1e3, "p99-ms")
		if p := caller.Audit(r.Outcomes, s.Executions()); p != (caller.AuditResult{}) {
			b.Errorf("%+v", p)
		}
	}
}
