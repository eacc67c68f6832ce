package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/logs"
	"github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/deployment"
)

// Options of a run.
type Options struct {
	Deployment string // "statikos" or "inzira"
	Duration   time.Duration
	Fault      Fault
	Load       float64 // offered load as a fraction of the targets' capacity
	Seed       uint64
	Latency    bool // give callers' connections the deployment's latency
	Progress   io.Writer
	Log        io.Writer // the daemons' JSON lines
}

// logLevel is the least level that the daemons log.
const logLevel = "info"

// The names and tokens of the demo's two operators, and its fleet key. They
// only protect stand-ins on loopback that exist for the time of the run.
const (
	authorName    = "author"
	authorToken   = "token of the demo's author"
	approverName  = "approver"
	approverToken = "token of the demo's approver"
	fleetKey      = "key of the demo's fleet, not a secret"
)

// run is the state of one run of the demo.
type run struct {
	options Options
	dep     *deployment.Running
	daemons []*daemon.Daemon
	stopped *daemon.Daemon // the one that a fault stopped
	log     *logrus.Logger
	blocks  string // path of the table of client blocks
	load    *caller.Run
	watch   *watcher

	mu           sync.Mutex
	longestDrain time.Duration
	wg           sync.WaitGroup
}

// Run runs the demo and returns its result.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{options: o, log: logs.New(logLevel, o.Log)}
	logs.RedirectNbio(r.log)
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	return r.result(), nil
}

func (r *run) progressf(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

func (r *run) goTracked(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

func (r *run) recordDrain(d time.Duration) {
	r.mu.Lock()
	r.longestDrain = max(r.longestDrain, d)
	r.mu.Unlock()
}

// start starts the stand-ins and the entry VMs.
func (r *run) start(ctx context.Context) error {
	desc, err := deployment.ByName(r.options.Deployment)
	if err != nil {
		return err
	}
	r.dep, err = deployment.Start(ctx, desc, deployment.Options{Seed: r.options.Seed, PutCatalogue: daemon.PutCatalogue})
	if err != nil {
		return err
	}
	if err := r.writeBlocks(); err != nil {
		return err
	}
	for _, vm := range r.dep.Machines().VMs {
		if err := r.startEntry(vm); err != nil {
			return err
		}
	}
	return r.waitReady(ctx)
}

// writeBlocks writes the table of client blocks: the clients of each region
// have it as their home region and prefer its failure domains in order.
func (r *run) writeBlocks() error {
	b := block.NewBuilder(nil)
	for _, region := range r.dep.Description.Regions {
		if err := addClients(b, region); err != nil {
			return err
		}
	}
	t, err := b.Build()
	if err != nil {
		return err
	}
	f, err := os.CreateTemp("", "azurethread-blocks-*")
	if err != nil {
		return err
	}
	r.blocks = f.Name()
	if err := block.Write(f, t); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// startEntry starts the daemon of one entry VM.
func (r *run) startEntry(vm fleet.VM) error {
	f := settings.Flags()
	err := f.Parse([]string{
		"--id=" + string(vm.ID),
		"--region=" + string(vm.Region),
		"--domain=" + string(vm.Domain),
		"--site=" + string(vm.Site),
		"--call-addr=" + vm.CallAddr,
		"--peer-addr=" + vm.PeerAddr,
		"--admin-addr=" + vm.AdminAddr,
		"--platform-url=http://" + r.dep.Platform.Addr(),
		"--fleet-key=" + fleetKey,
		"--blocks-file=" + r.blocks,
		"--operators=" + authorName + "=" + admin.HashToken(authorToken) + "," + approverName + "=" + admin.HashToken(approverToken),
	})
	if err != nil {
		return err
	}
	set, err := settings.Load(f)
	if err != nil {
		return err
	}
	client, err := platform.NewClient(platform.Options{Addr: set.PlatformURL})
	if err != nil {
		return err
	}
	d, err := daemon.Start(set, client, r.log)
	if err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	return nil
}

// readyTimeout is the longest time for all entry VMs to start.
const readyTimeout = 20 * time.Second

// waitReady waits until every entry VM has its configuration and has discovered
// the others.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for !r.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: entry VMs are not ready after %s", readyTimeout)
		case <-t.C:
		}
	}
	r.progressf("%d entry VMs and %d targets ready after %s", len(r.daemons), len(r.dep.Targets), time.Since(began).Round(time.Millisecond))
	return nil
}

func (r *run) ready() bool {
	for _, d := range r.daemons {
		if !d.Ready() || d.KnownVMs() < len(r.daemons) {
			return false
		}
	}
	return true
}

// callersPerRegion is the number of client addresses in each region.
const callersPerRegion = 60

// duplicateShare is the fraction of the non-idempotent requests that callers
// send a second time with the same token, like a user who presses a button
// twice.
const duplicateShare = 0.02

// runLoad runs the load and injects the fault after a third of its duration.
func (r *run) runLoad(ctx context.Context) error {
	desc := r.dep.Description
	cs := r.dep.Callers(caller.Options{
		Seed:           r.options.Seed,
		ResendLost:     true,
		DuplicateShare: duplicateShare,
	}, callersPerRegion, r.options.Latency)
	load := caller.Load{
		Callers:  cs,
		Kinds:    desc.Kinds(),
		Rate:     desc.Rate(r.options.Load),
		Duration: r.options.Duration,
		Seed:     r.options.Seed,
	}
	r.progressf("load of %.0f requests a second for %s, fault %s", load.Rate, r.options.Duration, r.options.Fault)
	r.watch = newWatcher(r)
	var err error
	if r.load, err = load.Start(ctx); err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.goTracked(func() { r.watch.run(watchCtx) })
	select {
	case <-time.After(r.options.Duration / 3):
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.options.Fault != None {
		r.progressf("fault: %s", r.options.Fault)
	}
	if err := r.inject(ctx); err != nil {
		return fmt.Errorf("demo: fault %s: %w", r.options.Fault, err)
	}
	r.load.Wait()
	stop()
	r.wg.Wait()
	return ctx.Err()
}

// close stops all daemons and stand-ins and removes the table of client blocks.
func (r *run) close() {
	var wg sync.WaitGroup
	for _, d := range r.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.Kill()
		}()
	}
	wg.Wait()
	if r.dep != nil {
		r.dep.Close()
	}
	if r.blocks != "" {
		os.Remove(r.blocks)
	}
}
