package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
)

// jsonSize returns the size of a message in JSON. The wire format is msgpack, which
// is smaller; serve/store measures the ratio.
func jsonSize(m Message) int {
	b, err := json.Marshal(NewBody(m))
	if err != nil {
		return 0
	}
	return len(b)
}

// traffic counts the messages, bytes and platform calls of a fleet in some period.
type traffic struct {
	messages, bytes, calls int
	maxSent, maxBytes      int // highest values of a single daemon
}

// measure returns the traffic while f runs.
func (n *network) measure(f func()) traffic {
	n.messages, n.bytes, n.platformCalls = 0, 0, 0
	for _, v := range n.daemons {
		v.sent, v.bytes = 0, 0
	}
	f()
	u := traffic{messages: n.messages, bytes: n.bytes, calls: n.platformCalls}
	for _, v := range n.daemons {
		u.maxSent = max(u.maxSent, v.sent)
		u.maxBytes = max(u.maxBytes, v.bytes)
	}
	return u
}

// benchmarkSpread reports the traffic of a fleet at rest, per change and in a
// burst, and the time until a change is in force at the last daemon. It runs in
// simulated time, with a delay of 1-2 ms within domains and 55 ms more between
// domains and to the platform. Messages and bytes per change exclude those at
// rest; platform calls per change are all calls in the 3 s after it.
func benchmarkSpread(b *testing.B, domains, perDomain int) {
	const rest, changes = 60, 20
	for b.Loop() {
		n := newNetwork(1, domains, perDomain)
		n.maxDelay = 2 * time.Millisecond
		n.crossDomainDelay = 55 * time.Millisecond
		n.sizeOf = jsonSize
		n.run(20 * time.Second)
		quiet := n.measure(func() { n.run(rest * time.Second) })
		var last time.Duration
		busy := n.measure(func() {
			for i := range changes {
				last = max(last, n.timeChange(b, i))
			}
		})
		burst := n.measure(func() { n.writeBurst(b, burstSpan) })
		daemons := float64(domains * perDomain)
		perChange := func(busy, quiet int) float64 {
			return (float64(busy) - float64(quiet)*changes*changeSpan.Seconds()/rest) / changes
		}
		b.ReportMetric(float64(quiet.messages)/rest/daemons, "rest-msg/s/daemon")
		b.ReportMetric(float64(quiet.bytes)/rest/daemons, "rest-B/s/daemon")
		b.ReportMetric(float64(quiet.maxBytes)/rest, "rest-B/s/max")
		b.ReportMetric(float64(quiet.calls)/rest, "rest-calls/s")
		b.ReportMetric(perChange(busy.messages, quiet.messages)/daemons, "msg/change/daemon")
		b.ReportMetric(perChange(busy.bytes, quiet.bytes)/daemons, "B/change/daemon")
		b.ReportMetric(perChange(busy.maxBytes, quiet.maxBytes), "B/change/max")
		b.ReportMetric(float64(busy.calls)/changes, "calls/change-in-3s")
		b.ReportMetric(last.Seconds()*1000, "ms-last-in-force")
		b.ReportMetric(float64(burst.bytes)/burstSpan.Seconds()/daemons, "burst-B/s/daemon")
		b.ReportMetric(float64(burst.maxBytes)/burstSpan.Seconds(), "burst-B/s/max")
		b.ReportMetric(float64(burst.calls)/burstSpan.Seconds(), "burst-calls/s")
	}
}

// changeSpan is the time between two changes in benchmarkSpread.
const changeSpan = 3 * time.Second

// A burst has 20 times the mean rate of 19,000 changes a day, for burstSpan.
const (
	burstSpan    = 20 * time.Second
	burstSpacing = 24 * time.Hour / 19000 / 20
)

// writeBurst makes changes through different daemons in turn.
func (n *network) writeBurst(b *testing.B, span time.Duration) {
	until := n.now.Add(span)
	for i := 0; n.now.Before(until); i++ {
		if !n.write(n.daemons[(i*41)%len(n.daemons)], fmt.Sprint("s", i%20), false) {
			// The daemon is still fetching the previous change and rejects
			// the write. The next change goes through another daemon.
			b.Logf("change %d was not accepted", i)
		}
		n.run(burstSpacing)
	}
}

// timeChange makes a change through a daemon, runs for changeSpan, and returns
// the time until the change was in force at the last daemon.
func (n *network) timeChange(b *testing.B, i int) time.Duration {
	at := n.now
	if !n.write(n.daemons[(i*37)%len(n.daemons)], fmt.Sprint("s", i), false) {
		b.Fatalf("change %d was not accepted", i)
	}
	n.run(changeSpan)
	if err := n.checkConverged(); err != nil {
		b.Fatal(err)
	}
	var last clock.Time
	for _, v := range n.daemons {
		last = max(last, v.appliedAt)
	}
	return last.Sub(at)
}

func BenchmarkOneDomain(b *testing.B) {
	for _, perDomain := range []int{8, 32, 128, 256} {
		b.Run(fmt.Sprint(perDomain), func(b *testing.B) { benchmarkSpread(b, 1, perDomain) })
	}
}

func BenchmarkFleet(b *testing.B) {
	for _, perDomain := range []int{4, 43} {
		b.Run(fmt.Sprint("77x", perDomain), func(b *testing.B) { benchmarkSpread(b, 77, perDomain) })
	}
}

// BenchmarkEveryDaemonWatches is the baseline for platform calls: each daemon is
// alone in its domain, so every daemon watches.
func BenchmarkEveryDaemonWatches(b *testing.B) {
	for _, daemons := range []int{8, 32, 128, 256} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) { benchmarkSpread(b, daemons, 1) })
	}
}

// BenchmarkStep measures the processor time of one event, in a domain of 43
// daemons with a catalogue of 1,000 entries.
func BenchmarkStep(b *testing.B) {
	n := newNetwork(1, 4, 43)
	c := &catalogue.Catalogue{Revision: 2}
	for i := range 1000 {
		c.Shifts = append(c.Shifts, catalogue.Shift{ID: fmt.Sprint("shift-", i), Owner: "statikos", Revision: 2})
	}
	n.storeDocument(c)
	n.run(20 * time.Second)
	v, from := n.daemons[0], n.daemons[1]
	b.Run("digest", func(b *testing.B) {
		ev := &PeerMessage{From: from.id, Msg: from.st.makeDigest()}
		for b.Loop() {
			v.st.Step(n.now, ev, &v.ready)
		}
	})
	b.Run("heartbeat", func(b *testing.B) {
		m := from.st.makeHeartbeat()
		for b.Loop() {
			m.Seq++
			v.st.Step(n.now, &PeerMessage{From: from.id, Msg: m}, &v.ready)
		}
	})
	b.Run("push", func(b *testing.B) { benchmarkPush(b, n, v, from) })
	b.Run("document", func(b *testing.B) { benchmarkDocument(b, n, v) })
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			v.st.Step(n.now, &Tick{}, &v.ready)
		}
	})
}

// benchmarkPush applies a push of one entry and forwards it.
func benchmarkPush(b *testing.B, n *network, v, from *testDaemon) {
	current := v.st.current
	for b.Loop() {
		entry := current.cat.Shifts[7]
		entry.Revision = current.cat.Revision + 1
		d := &Delta{Format: Format, From: current.cat.Revision, To: entry.Revision, Age: Unknown}
		d.Shifts = []catalogue.Shift{entry}
		next, err := newContentFrom(current, d)
		if err != nil {
			b.Fatal(err)
		}
		d.Hash = next.hash()
		v.st.Step(n.now, &PeerMessage{From: from.id, Msg: &Push{Root: from.id, Delta: *d}}, &v.ready)
		if current = v.st.current; current.cat.Revision != d.To {
			b.Fatalf("push to revision %d was not applied: revision %d is in force", d.To, current.cat.Revision)
		}
	}
}

// newContentFrom returns the content that results from applying d to c, for its
// hash.
func newContentFrom(c *content, d *Delta) (*content, error) {
	merged, _ := merge(c.cat.Shifts, d.Shifts, nil, compareShifts, shiftID)
	sum := c.entrySum
	for _, s := range []struct {
		shift catalogue.Shift
		sign  uint64
	}{{c.cat.Shifts[7], ^uint64(0)}, {d.Shifts[0], 1}} {
		h, err := hashEntry("shift", &s.shift)
		if err != nil {
			return nil, err
		}
		sum += h * s.sign
	}
	return &content{cat: &catalogue.Catalogue{Revision: d.To, Shifts: merged}, entrySum: sum}, nil
}

// benchmarkDocument reads a document with one change from the platform.
func benchmarkDocument(b *testing.B, n *network, v *testDaemon) {
	for b.Loop() {
		old := v.st.current.cat
		c := &catalogue.Catalogue{Revision: old.Revision + 1, Shifts: append([]catalogue.Shift{}, old.Shifts...)}
		c.Shifts[9].Revision = c.Revision
		ev := &PlatformRead{Seq: v.st.reader.seq, Result: ReadDocument, Catalogue: c, ConfirmedAt: n.now}
		v.st.Step(n.now, ev, &v.ready)
		if v.st.current.cat.Revision != c.Revision {
			b.Fatalf("document of revision %d was not applied: revision %d is in force", c.Revision, v.st.current.cat.Revision)
		}
	}
}
