package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// startHopTarget starts a target that answers every request with n bytes, without
// any limits, so that the benchmarks measure only the additional hop.
func startHopTarget(b *testing.B, n int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, n)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", fmt.Sprint(n))
		_, _ = w.Write(body)
	})}
	go s.Serve(ln)
	b.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// BenchmarkHop compares direct calls to a target with calls through an entry VM,
// with the same number of connections and in the same run.
func BenchmarkHop(b *testing.B) {
	addr := startHopTarget(b, 128)
	e := startEntry(b, entryOptions{
		targets:  []fleet.Target{{ID: "t1", Service: "calc", Addr: addr, Slots: 1024, Connections: 4096}},
		services: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}},
	})
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			runCallers(b, callers, "http://"+addr+"/x")
		})
		b.Run(fmt.Sprintf("entry/callers=%d", callers), func(b *testing.B) {
			runCallers(b, callers, "http://"+e.CallAddr()+"/v1/call/calc/x")
		})
	}
}

// runCallers sends b.N requests over the given number of connections and
// reports the median and p99 of their durations.
func runCallers(b *testing.B, callers int, url string) {
	b.ReportAllocs()
	tr := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	b.ResetTimer()
	for c := range callers {
		n := b.N / callers
		if c < b.N%callers {
			n++
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			mine := make([]time.Duration, 0, n)
			for range n {
				t := time.Now()
				if err := fetch(client, url); err != nil {
					b.Error(err)
					return
				}
				mine = append(mine, time.Since(t))
			}
			mu.Lock()
			all = append(all, mine...)
			mu.Unlock()
		}()
	}
	wg.Wait()
	b.StopTimer()
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

func fetch(c *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// BenchmarkIdleConnections reports the memory used by the idle connections of
// 4,000 callers. Both ends of each are in this process.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 4000
	e := startEntry(b, entryOptions{})
	for range b.N {
		before := heapInUse()
		conns := make([]net.Conn, 0, connections)
		for range connections {
			c, err := net.Dial("tcp", e.CallAddr())
			if err != nil {
				b.Fatal(err)
			}
			conns = append(conns, c)
		}
		waitFor(b, func() bool { return e.Connections() == connections })
		b.ReportMetric(float64(heapInUse()-before)/connections, "heap-bytes/conn")
		b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
		for _, c := range conns {
			c.Close()
		}
		waitFor(b, func() bool { return e.Connections() == 0 })
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkLargeAnswers reports the throughput of large answers to 64 concurrent
// callers, directly from the target and through an entry VM, in the same run.
func BenchmarkLargeAnswers(b *testing.B) {
	const callers = 64
	for _, size := range []int{64 << 10, 8 << 20} {
		addr := startHopTarget(b, size)
		e := startEntry(b, entryOptions{
			targets:  []fleet.Target{{ID: "t1", Service: "calc", Addr: addr, Slots: 1024, Connections: 4096}},
			services: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}},
		})
		b.Run(fmt.Sprintf("direct/bytes=%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			runCallers(b, callers, "http://"+addr+"/x")
		})
		b.Run(fmt.Sprintf("entry/bytes=%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			runCallers(b, callers, "http://"+e.CallAddr()+"/v1/call/calc/x")
		})
	}
}

// BenchmarkLookup reports the rate of look-ups over HTTP. Callers and entry VM
// share the process, so lookups/core-s is based on the processor time of both
// and understates the rate of the entry VM.
func BenchmarkLookup(b *testing.B) {
	e := startEntry(b, entryOptions{services: testServices()})
	for _, c := range []struct {
		name, query string
	}{
		{"idempotent", "service=" + calc + "&client=10.1.2.3"},
		{"tokens=1", "service=" + fee + "&client=10.1.2.3"},
	} {
		b.Run(c.name, func(b *testing.B) {
			before := processorTime(b)
			runCallers(b, 16, "http://"+e.CallAddr()+"/v1/lookup?"+c.query)
			b.ReportMetric(float64(b.N)/(processorTime(b)-before).Seconds(), "lookups/core-s")
		})
	}
}

// processorTime returns the processor time of this process so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
