package peer

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// BenchmarkLoopback measures the transfer of messages from one transport to
// another in the same process: encoding of frames, MACs and sockets.
func BenchmarkLoopback(b *testing.B) {
	for _, size := range []int{64, 1 << 10, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchmarkLoopback(b, size) })
	}
}

func benchmarkLoopback(b *testing.B, size int) {
	var got atomic.Int64
	to, vm := benchmarkTransport(b, "to", func(_ fleet.VMID, env Envelope) { got.Add(int64(len(env.Bodies))) })
	from, _ := benchmarkTransport(b, "from", func(fleet.VMID, Envelope) {})
	body := textBody(strings.Repeat("x", size))
	send := func(n int) {
		if err := from.Send(vm, body); err != nil {
			b.Fatal(err)
		}
		// Keep less in flight than the queue holds, or messages are dropped.
		for got.Load() < int64(n)-DefaultMaxQueueBytes/int64(2*size+1000) {
			time.Sleep(10 * time.Microsecond)
		}
	}
	send(1)
	sent := 1
	b.SetBytes(int64(size))
	b.ReportAllocs()
	for b.Loop() {
		sent++
		send(sent)
	}
	for got.Load() < int64(sent) && from.Stats().Dropped == 0 {
		time.Sleep(10 * time.Microsecond)
	}
	if d := from.Stats().Dropped; d > 0 {
		b.Fatalf("%d messages dropped", d)
	}
	b.ReportMetric(float64(to.Stats().FramesReceived)/float64(sent), "frames/msg")
}

func benchmarkTransport(b *testing.B, id fleet.VMID, h Handler) (*Transport, fleet.VM) {
	t, err := New(Options{ID: id, Key: testKey}, h, nil)
	if err != nil {
		b.Fatal(err)
	}
	addr, err := t.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx := b.Context() // already cancelled: close at once
		_ = t.Close(ctx)
	})
	return t, fleet.VM{ID: id, PeerAddr: addr}
}

// BenchmarkMessages measures encoding and decoding, and reports the size of a
// frame with only that message.
func BenchmarkMessages(b *testing.B) {
	for _, m := range exampleMessages() {
		b.Run(strings.TrimPrefix(fmt.Sprintf("%T", m), "*member."), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				body, err := EncodeMember(m)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeMember(body); err != nil {
					b.Fatal(err)
				}
				size = len(body.Data) + FrameOverhead + bodyOverhead
			}
			b.ReportMetric(float64(size), "frame-bytes")
		})
	}
}

// BenchmarkControl reports the cost of membership and load reports for a daemon
// without requests, by number of members, domains and regions, on a fake clock.
func BenchmarkControl(b *testing.B) {
	for _, p := range capacityPoints {
		x := p.X
		if x.Members*x.Domains > 1000 {
			continue // TestCapacityPoints measures the largest
		}
		name := fmt.Sprintf("%s/members=%d/domains=%d/regions=%d", p.Name, x.Members, x.Domains, x.Regions)
		b.Run(name, func(b *testing.B) {
			var y measurements
			for b.Loop() {
				var err error
				if y, _, err = measure(x, 10); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(y.BytesPerS, "B/s/daemon")
			b.ReportMetric(y.MaxBytesPerS, "max-B/s/daemon")
			b.ReportMetric(y.MsgsPerS, "msgs/s/daemon")
			b.ReportMetric(y.CPUMicrosPerS, "cpu-us/s/daemon")
		})
	}
}
