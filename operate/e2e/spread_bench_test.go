package e2e

import (
	"context"
	"fmt"
	"io"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/serve/store"
	"github.com/azurethread/azurethread/standin/platform"
)

// spreadChanges is the number of changes measured for each size.
const spreadChanges = 20

// restTime is how long a fleet is measured at rest.
const restTime = 10 * time.Second

// latencies delays frames by the latencies that the users specify: 1.5 ms
// between failure domains of a region, 55 ms between regions, none inside a
// domain.
type latencies map[fleet.VMID]fleet.VM

func (l latencies) Pass(from, to fleet.VMID) (time.Duration, bool) {
	a, b := l[from], l[to]
	switch {
	case a.Region != b.Region:
		return 55 * time.Millisecond, true
	case a.Domain != b.Domain:
		return 1500 * time.Microsecond, true
	default:
		return 0, true
	}
}

// startFleet starts n daemons, distributed over six domains in three regions.
func startFleet(b *testing.B, p *platform.Server, n int) []*daemon.Daemon {
	link := make(latencies)
	vms := make([]fleet.VM, n)
	for i := range vms {
		d := i % 6
		region := fleet.Region(fmt.Sprintf("r%d", d/2))
		vms[i] = fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm%03d", i)), Region: region, Domain: fleet.Domain(fmt.Sprintf("%s-%d", region, d%2))}
		link[vms[i].ID] = vms[i]
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var ds []*daemon.Daemon
	var list fleet.List
	for _, vm := range vms {
		f := settings.Flags()
		err := f.Parse([]string{
			"--id=" + string(vm.ID), "--region=" + string(vm.Region), "--domain=" + string(vm.Domain),
			"--call-addr=127.0.0.1:0", "--peer-addr=127.0.0.1:0", "--admin-addr=127.0.0.1:0", "--pollers=1",
			"--platform-url=http://" + p.Addr(), "--fleet-key=" + testFleetKey,
		})
		if err != nil {
			b.Fatal(err)
		}
		set, err := settings.Load(f)
		if err != nil {
			b.Fatal(err)
		}
		d, err := daemon.Start(set, p.Store(), log, daemon.WithLink(link))
		if err != nil {
			b.Fatal(err)
		}
		ds = append(ds, d)
		list.VMs = append(list.VMs, d.Self())
	}
	p.SetMachines(list)
	return ds
}

// BenchmarkSpread runs real daemons in one process with the specified latencies
// between them. It reports the time from the acceptance of a change until it is
// in force at the last daemon, the calls to the platform, and the traffic and
// processor time of a daemon at rest.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 32, 128, 256} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				measureSpread(b, n)
			}
		})
	}
}

func measureSpread(b *testing.B, n int) {
	p := platform.New(platform.Options{})
	if err := p.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	ctx := context.Background()
	if err := daemon.PutCatalogue(ctx, p.Store(), catalogue.Catalogue{Revision: 1}); err != nil {
		b.Fatal(err)
	}
	ds := startFleet(b, p, n)
	defer killAll(ds)
	waitFor(b, func() bool { return fleetReady(ds) })
	time.Sleep(5 * time.Second) // until the traffic of joining has ended
	measureRest(b, p, ds)
	before := p.Counts()
	var times []time.Duration
	for i := range spreadChanges {
		times = append(times, timeChange(ctx, b, p, ds, i))
		time.Sleep(500 * time.Millisecond)
	}
	slices.Sort(times)
	after := p.Counts()
	calls := after.Reads + after.Watches - before.Reads - before.Watches
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "in-force-p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "in-force-max-ms")
	b.ReportMetric(float64(calls)/spreadChanges, "platform-calls/change")
	b.ReportMetric(0, "ns/op")
}

func killAll(ds []*daemon.Daemon) {
	done := make(chan struct{})
	for _, d := range ds {
		go func() {
			d.Kill()
			done <- struct{}{}
		}()
	}
	for range ds {
		<-done
	}
}

// fleetReady reports whether all daemons have a configuration and know the
// daemons of their domain.
func fleetReady(ds []*daemon.Daemon) bool {
	for _, d := range ds {
		if !d.Ready() || d.KnownVMs() < min(len(ds)/6, 6) {
			return false
		}
	}
	return true
}

// timeChange makes one change as an operator does and returns the time until it
// is in force at all daemons.
func timeChange(ctx context.Context, b *testing.B, p *platform.Server, ds []*daemon.Daemon, i int) time.Duration {
	w := store.NewWriter(store.WriterOptions{
		Store: p.Store(),
		Base:  func() (config.Base, bool) { return config.Base{}, true },
		Now:   func() clock.Time { return clock.FromWall(time.Now()) },
	})
	a, err := w.Change(ctx, change.Operation{
		ID: uuid.NewString(), Operator: "bench", Kind: change.KindPutService,
		PutService: &change.PutService{Service: catalogue.Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%d", i)), Priority: catalogue.Interactive, Idempotent: true,
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	for _, d := range ds {
		for d.Revision() < a.Revision {
			if time.Since(began) > 20*time.Second {
				b.Fatalf("revision %d is not in force at all daemons", a.Revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// measureRest reports the traffic and processor time of a daemon and the calls
// to the platform when nothing changes. The processor time includes that of the
// stand-ins.
func measureRest(b *testing.B, p *platform.Server, ds []*daemon.Daemon) {
	cpu, sent, worst := cpuTime(), make([]uint64, len(ds)), uint64(0)
	calls := p.Counts()
	for i, d := range ds {
		sent[i] = d.PeerStats().BytesSent
	}
	time.Sleep(restTime)
	var total uint64
	for i, d := range ds {
		n := d.PeerStats().BytesSent - sent[i]
		total += n
		worst = max(worst, n)
	}
	after := p.Counts()
	reads := after.Reads + after.Watches - calls.Reads - calls.Watches
	seconds := restTime.Seconds()
	b.ReportMetric(float64(total)/float64(len(ds))/seconds, "B/s/daemon")
	b.ReportMetric(float64(worst)/seconds, "B/s-worst")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(len(ds))/seconds, "cpu-µs/s/daemon")
	b.ReportMetric(float64(reads)/seconds, "platform-calls/s")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
