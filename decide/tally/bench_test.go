package tally

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// benchmarkTime is how long a benchmark counts messages.
const benchmarkTime = 20 * time.Second

// BenchmarkTraffic reports the messages and bytes sent by an entry VM on
// average, and from and to the one that runs the rounds, while one shift of one
// service moves traffic. Each entry VM serves 100 requests/s of random blocks.
// Frames, acknowledgements and TCP headers are not included in the bytes.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range [][2]int{{2, 4}, {2, 8}, {2, 16}, {2, 43}, {2, 86}, {6, 2}, {20, 2}, {77, 2}, {77, 8}, {77, 43}} {
		b.Run(fmt.Sprintf("domains=%d/members=%d", size[0], size[1]), func(b *testing.B) {
			for range b.N {
				n := newNetwork(1, size[0], size[1])
				n.extraRequests = 9 // and one request by network.run: 100 requests/s
				n.run(settleTime)
				n.measure(b)
			}
		})
	}
}

// BenchmarkIdleTraffic reports the same figures while no shift moves traffic.
func BenchmarkIdleTraffic(b *testing.B) {
	for range b.N {
		n := newNetwork(1, 6, 8)
		for _, v := range n.vms {
			empty := testCatalogue(2)
			empty.Shifts = nil
			n.step(v, &Configured{Catalogue: empty})
		}
		n.run(settleTime)
		n.measure(b)
	}
}

func (n *network) measure(b *testing.B) {
	n.messages, n.bytes = 0, 0
	lead, leadBytes := n.leaderMessages, n.leaderBytes
	oldest := time.Duration(0)
	for range int(benchmarkTime / requestGap) {
		n.run(requestGap)
		if c := n.count(); c.Until > 0 {
			oldest = max(oldest, n.now.Sub(c.Until))
		}
	}
	seconds := benchmarkTime.Seconds()
	all := float64(len(n.vms)) * seconds
	b.ReportMetric(float64(n.messages)/all, "msgs/s/daemon")
	b.ReportMetric(float64(n.bytes)/all, "B/s/daemon")
	b.ReportMetric(float64(n.leaderMessages-lead)/seconds, "runner-msgs/s")
	b.ReportMetric(float64(n.leaderBytes-leadBytes)/seconds, "runner-B/s")
	b.ReportMetric(oldest.Seconds(), "oldest-s")
	b.ReportMetric(float64(n.count().Missing), "missing")
}

// BenchmarkRecordRequest measures counting one request.
func BenchmarkRecordRequest(b *testing.B) {
	n := newNetwork(1, 2, 2)
	b.ReportAllocs()
	for b.Loop() {
		n.leader.state.RecordRequest(testService, "r0", 7, "", time.Millisecond)
	}
}

// BenchmarkRecordAnswer measures recording one answer.
func BenchmarkRecordAnswer(b *testing.B) {
	m := NewMeter(0)
	for i := range 10 {
		m.RecordAnswer(0, fleet.ServiceName(fmt.Sprint(i)), 0, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.RecordAnswer(0, "7", time.Millisecond, true)
	}
}
