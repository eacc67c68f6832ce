package e2e

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/platform"
)

// startJoinFleet runs two entry VMs in one failure domain. It returns their
// platform and the second of them as a value of --seeds.
func startJoinFleet(tb testing.TB) (*platform.Server, string) {
	tb.Helper()
	p := platform.New(platform.Options{})
	if err := p.Start("127.0.0.1:0"); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { p.Close() })
	if err := daemon.PutCatalogue(context.Background(), p.Store(), catalogue.Catalogue{
		Revision: 1,
		Services: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}},
	}); err != nil {
		tb.Fatal(err)
	}
	p.SetMachines(fleet.List{Targets: []fleet.Target{{ID: "t1", Service: "calc", Region: "attiki", Domain: "attiki-1", Addr: "127.0.0.1:9", Slots: 3}}})
	var seed string
	for i := range 2 {
		d := startJoiner(tb, p, fmt.Sprintf("first-%d", i), "")
		tb.Cleanup(d.Kill)
		waitFor(tb, d.Ready)
		vm := d.Self()
		seed = fmt.Sprintf("%s@%s/%s=%s", vm.ID, vm.Region, vm.Domain, vm.PeerAddr)
	}
	return p, seed
}

// startJoiner starts a daemon without any configuration or machine list.
func startJoiner(tb testing.TB, p *platform.Server, id, seed string) *daemon.Daemon {
	tb.Helper()
	f := settings.Flags()
	err := f.Parse([]string{
		"--id=" + id, "--region=attiki", "--domain=attiki-1", "--seeds=" + seed,
		"--call-addr=127.0.0.1:0", "--peer-addr=127.0.0.1:0", "--admin-addr=127.0.0.1:0", "--pollers=1",
		"--platform-url=http://" + p.Addr(), "--fleet-key=" + testFleetKey,
	})
	if err != nil {
		tb.Fatal(err)
	}
	set, err := settings.Load(f)
	if err != nil {
		tb.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.Start(set, p.Store(), log)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// An entry VM that starts while the platform is down, with one neighbour in its
// settings, must become ready. It can't if the catalogue and the machine list are
// read from the platform only.
func TestJoinWithoutPlatform(t *testing.T) {
	is := is.New(t)
	p, seed := startJoinFleet(t)
	is.NoErr(p.SetOutage(platform.Hanging))
	d := startJoiner(t, p, "late", seed)
	defer d.Kill()
	waitFor(t, d.Ready)
	is.Equal(d.Revision(), uint64(1))
}

// BenchmarkJoin reports the time from a daemon's start until it is ready, and
// the bytes that its neighbours send to it.
func BenchmarkJoin(b *testing.B) {
	for name, outage := range map[string]platform.Outage{"platform=up": platform.Up, "platform=down": platform.Hanging} {
		b.Run(name, func(b *testing.B) {
			p, seed := startJoinFleet(b)
			if err := p.SetOutage(outage); err != nil {
				b.Fatal(err)
			}
			var total time.Duration
			var bytes uint64
			for i := range b.N {
				began := time.Now()
				d := startJoiner(b, p, fmt.Sprintf("late-%d", i), seed)
				waitFor(b, d.Ready)
				total += time.Since(began)
				bytes += d.PeerStats().BytesReceived
				d.Kill()
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/join")
			b.ReportMetric(float64(bytes)/float64(b.N), "B-received/join")
		})
	}
}
