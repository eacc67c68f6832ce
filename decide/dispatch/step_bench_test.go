package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// BenchmarkRequest measures the common path: a request arrives, is sent,
// answered and delivered, with half of the slots in use.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{16, 940} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) { benchmarkRequest(b, n, 3*n/2) })
	}
}

// BenchmarkRequestBusy measures the same with one free slot, which takes the
// longest search.
func BenchmarkRequestBusy(b *testing.B) {
	for _, n := range []int{16, 940} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) { benchmarkRequest(b, n, 3*n-1) })
	}
}

func benchmarkRequest(b *testing.B, targets, busy int) {
	s := New(Options{VM: "self", Seed: 1})
	var out Ready
	s.Step(1, &Services{List: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}}}, &out)
	list := make([]fleet.Target, targets)
	for i := range list {
		list[i] = fleet.Target{ID: fleet.TargetID(fmt.Sprintf("t%03d", i)), Service: "calc", Slots: 3, Connections: 330}
	}
	s.Step(1, &Targets{List: list}, &out)
	now := clock.Time(2)
	sent := make([]Send, busy+1)
	arrive := Arrive{Service: "calc"}
	answered := Answered{Status: 200}
	for i := 0; i < busy; i++ {
		arrive.Req++
		arrive.Block += 7919
		out.Reset()
		s.Step(now, &arrive, &out)
		sent[i] = out.Sends[0]
	}
	b.ReportAllocs()
	b.ResetTimer()
	last := busy
	for i := 0; i < b.N; i++ {
		now = now.Add(10 * time.Microsecond)
		arrive.Req++
		arrive.Block += 7919
		arrive.Deadline = now.Add(time.Second)
		out.Reset()
		s.Step(now, &arrive, &out)
		sent[last] = out.Sends[0]
		last = (last + 1) % len(sent)
		answered.Req, answered.Attempt = sent[last].Req, sent[last].Attempt
		out.Reset()
		s.Step(now.Add(time.Microsecond), &answered, &out)
		if len(out.Delivers) != 1 {
			b.Fatal("no answer delivered")
		}
	}
}
