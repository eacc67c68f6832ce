package machine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTraffic reports the messages and bytes that a daemon sends at rest,
// per change and per join, for different sizes of a domain. Other domains send
// nothing here; their number only determines how many entry VMs the list has.
// The bytes don't include frames, acknowledgements and TCP headers.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ members, domains int }{
		{4, 6}, {8, 6}, {16, 6}, {43, 6}, {86, 6}, {43, 20}, {43, 77},
	} {
		b.Run(fmt.Sprintf("domains=%d/members=%d", size.domains, size.members), func(b *testing.B) {
			for range b.N {
				measureTraffic(b, newNetwork(1, size.members, size.members*size.domains, size.members))
			}
		})
	}
}

func measureTraffic(b *testing.B, n *network) {
	daemons := float64(len(n.daemons))
	n.run(5 * time.Second)
	const rest = 2 * time.Minute
	messages, bytes := n.countTraffic(func() { n.run(rest) })
	b.ReportMetric(messages/daemons/rest.Seconds(), "rest-msgs/s/daemon")
	b.ReportMetric(bytes/daemons/rest.Seconds(), "rest-B/s/daemon")

	at := n.now
	messages, bytes = n.countTraffic(func() {
		n.change(addTarget(1000))
		n.run(time.Second)
	})
	b.ReportMetric(messages/daemons, "change-msgs/daemon")
	b.ReportMetric(bytes/daemons, "change-B/daemon")
	last := at
	for _, v := range n.daemons {
		last = max(last, v.appliedAt)
	}
	b.ReportMetric(last.Sub(at).Seconds()*1000, "change-ms")

	at = n.now
	joiner := n.daemons[len(n.daemons)-1]
	_, bytes = n.countTraffic(func() {
		n.start(joiner)
		n.run(time.Second)
	})
	b.ReportMetric(bytes, "join-B")
	b.ReportMetric(joiner.appliedAt.Sub(at).Seconds()*1000, "join-ms")
	if err := n.checkConverged(); err != nil {
		b.Fatal(err)
	}
}

// countTraffic returns the messages and bytes sent during do.
func (n *network) countTraffic(do func()) (messages, bytes float64) {
	n.messages, n.bytes = 0, 0
	do()
	return float64(n.messages), float64(n.bytes)
}
