package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
	"github.com/azurethread/azurethread/serve/peer"
	"github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/serve/store"
)

// Platform is the part of the platform's API that the daemon uses.
type Platform interface {
	platform.Store
	platform.Machines
}

// Daemon is the process of one entry VM.
type Daemon struct {
	settings  *settings.Settings
	log       *logrus.Entry
	platform  Platform
	self      fleet.VM
	monotonic monotonicClock

	core    *Core
	calls   calls
	metrics *metrics
	tracer  *tracer
	pool    *outbound.Pool
	probes  atomic.Uint64 // of targets
	callers *inbound.Server
	clients *inbound.Account // what callers and operators hold
	peers   *peer.Transport
	link    peer.Link // nil outside of tests
	started atomic.Bool
	admin   *inbound.Server
	lookups lookups
	known   atomic.Pointer[knownVMs]
	config  atomic.Pointer[catalogue.Catalogue]
	leaving atomic.Bool

	superseded     chan struct{} // closed when a newer process uses this id
	supersededOnce sync.Once
	minters        sync.Pool

	// Addresses, used only by the goroutine that is running the core.
	targets map[fleet.TargetID]fleet.Target
	vms     map[fleet.VMID]fleet.VM

	blocks            *engine.BlockTableLoaded // nil if no file is configured
	reader            *store.Reader
	writer            *store.Writer
	platformReachable atomic.Bool
	watchesMachines   atomic.Bool // watches the platform's machine list
	hasMachineList    atomic.Bool // a machine list has been received
	eligible          atomic.Bool // may acquire the lease of the shift runner

	adminPages inbound.Handler

	peerAddr    string
	adminAddr   string
	ctx         context.Context // ends when the daemon stops
	cancel      context.CancelFunc
	tasks       taskGroup
	cleanupOnce sync.Once
}

// monotonicClock returns wall-clock times that never decrease.
type monotonicClock struct {
	base    clock.Time
	started time.Time
}

func newMonotonicClock() monotonicClock {
	t := time.Now()
	return monotonicClock{base: clock.FromWall(t), started: t}
}

func (m monotonicClock) now() clock.Time { return m.base.Add(time.Since(m.started)) }

func (d *Daemon) now() clock.Time { return d.monotonic.now() }

// Option changes the set-up of a daemon in tests.
type Option func(*Daemon)

// WithLink passes frames to other entry VMs through l.
func WithLink(l peer.Link) Option { return func(d *Daemon) { d.link = l } }

// Start sets up a daemon and starts to serve. If it returns an error, nothing is
// left running.
func Start(set *settings.Settings, p Platform, log *logrus.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:  set,
		log:       log.WithField("vm", set.ID),
		platform:  p,
		monotonic: newMonotonicClock(),
		metrics:   newMetrics(),
		targets:   make(map[fleet.TargetID]fleet.Target),
		vms:       make(map[fleet.VMID]fleet.VM),
	}
	for _, o := range opts {
		o(d)
	}
	d.superseded = make(chan struct{})
	d.calls.byID = make(map[dispatch.RequestID]*call)
	d.minters.New = func() any { return token.NewMinter([]byte(set.FleetKey)) }
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.provision(); err != nil {
		d.cleanup()
		return nil, err
	}
	d.run()
	d.log.WithFields(logrus.Fields{
		"call_addr": d.self.CallAddr, "admin_addr": d.self.AdminAddr, "peer_addr": d.self.PeerAddr,
		"region": set.Region, "domain": set.Domain,
	}).Info("entry VM started")
	return d, nil
}

func (d *Daemon) provision() error {
	var err error
	if err := d.loadBlocks(); err != nil {
		return err
	}
	if d.tracer, err = newTracer(d.settings.TraceExporter, d.settings.TraceSample); err != nil {
		return err
	}
	if err := d.provisionPool(); err != nil {
		return err
	}
	if err := d.provisionCallers(); err != nil {
		return fmt.Errorf("daemon: --call-addr: %w", err)
	}
	if err := d.provisionAdmin(); err != nil {
		return fmt.Errorf("daemon: --admin-addr: %w", err)
	}
	inc := fleet.Incarnation(d.now())
	if err := d.provisionPeers(inc); err != nil {
		return fmt.Errorf("daemon: --peer-addr: %w", err)
	}
	d.self = d.describeSelf(inc)
	d.newCore()
	d.registerMetrics()
	d.started.Store(true)
	return nil
}

func (d *Daemon) provisionPool() error {
	var err error
	d.pool, err = outbound.NewPool(outbound.Options{
		DialTimeout:    d.settings.DialTimeout,
		IdleTimeout:    targetIdleTimeout,
		MaxAnswerBytes: d.settings.MaxAnswerBytes,
		Pollers:        d.settings.Pollers,
		Now:            d.now,
		Dial:           net.DialTimeout,
	})
	return err
}

// headMemory is the memory that the heads of callers' and operators' requests may use, in
// bytes, from their first byte until their requests are answered.
const headMemory = 64 << 20

func (d *Daemon) provisionCallers() error {
	conns, err := inbound.ConnectionLimit(0)
	if err != nil {
		return err
	}
	d.clients = inbound.NewAccount(headMemory, conns, nil)
	d.callers, err = inbound.Listen(d.settings.CallAddr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   d.settings.MaxHeadBytes,
			BodyBytes:   d.settings.MaxBodyBytes,
			ReadTimeout: d.settings.ReadTimeout,
			IdleTimeout: d.settings.IdleTimeout,
		},
		Account:      d.clients,
		WriteTimeout: d.settings.WriteTimeout,
		Pollers:      d.settings.Pollers,
		Refusal:      refusalByStatus,
		MayBeRepeat:  hasToken,
		RepeatFields: []string{headerToken, "Traceparent"},
	})
	return err
}

// targetIdleTimeout is how long an idle connection to a target is kept. It is
// shorter than the usual idle timeouts of servers, so that a target rarely
// closes a connection while a request is being written to it.
const targetIdleTimeout = 15 * time.Second

// describeSelf returns this entry VM as advertised to others. The incarnation is
// the wall-clock time of the start, so a restart gets a higher one without
// stored state.
func (d *Daemon) describeSelf(inc fleet.Incarnation) fleet.VM {
	return fleet.VM{
		ID:          d.settings.ID,
		Region:      d.settings.Region,
		Domain:      d.settings.Domain,
		Site:        d.settings.Site,
		CallAddr:    valueOrDefault(d.settings.CallAdvertise, d.callers.Addr()),
		PeerAddr:    valueOrDefault(d.settings.PeerAdvertise, d.peerAddr),
		AdminAddr:   valueOrDefault(d.settings.AdminAdvertise, d.adminAddr),
		Incarnation: inc,
	}
}

func valueOrDefault(v, def string) string {
	if v != "" {
		return v
	}
	return def
}

func (d *Daemon) newCore() {
	seed := d.settings.Seed
	if seed == 0 {
		seed = uint64(d.now())
	}
	eng := engine.New(engine.Options{
		Self:     d.self,
		FleetKey: []byte(d.settings.FleetKey),
		Seed:     seed,
		Now:      d.now(),
		Dispatch: dispatch.Options{Policy: d.settings.Policy},
		Member:   member.Options{Seeds: d.settings.Seeds},
		NearRTT:  d.settings.NearRTT,
		FarRTT:   d.settings.FarRTT,
	})
	d.updateVMs([]fleet.VM{d.self})
	alone := steer.New(steer.Inputs{Self: d.self.Region, VMs: []fleet.VM{d.self}})
	d.lookups.views.Store(&views{shifted: alone, unshifted: alone})
	d.provisionStore()
	d.core = newCore(d.now, eng, d)
}

// registerMetrics adds the metrics that other packages count.
func (d *Daemon) registerMetrics() {
	d.metrics.addFunc("peer", func() any { return d.peers.Stats() })
	d.metrics.addFunc("caller_connections", func() any { return d.callers.Connections() })
	d.metrics.addFunc("revision", func() any { return revisionNumber(d.config.Load()) })
	d.metrics.addFunc("known_vms", func() any { return d.KnownVMs() })
	d.metrics.addFunc("platform_reachable", func() any { return d.platformReachable.Load() })
	d.metrics.addFunc("configuration", func() any {
		var c config.Counters
		d.core.Query(func(_ clock.Time, e *engine.Engine) { c = e.Config().Counters() })
		return c
	})
	d.metrics.addFunc("loads", func() any {
		var l []dispatch.ServiceLoad
		d.core.Query(func(_ clock.Time, e *engine.Engine) { l = e.OwnLoads() })
		return l
	})
}

// run starts the servers and the background tasks.
func (d *Daemon) run() {
	if d.blocks != nil {
		d.core.Post(d.blocks)
	}
	d.core.Post(&engine.Tick{})
	d.callers.Serve(d)
	d.admin.Serve(d.adminPages)
	d.startTask(d.watchMachines)
	d.startTask(d.runShiftLease)
}

func (d *Daemon) startTask(f func()) { d.tasks.start(f) }

// CallAddr returns the advertised address for callers.
func (d *Daemon) CallAddr() string { return d.self.CallAddr }

// AdminAddr returns the advertised address for operators.
func (d *Daemon) AdminAddr() string { return d.self.AdminAddr }

// Ready reports whether this entry VM can serve: it has a configuration and a
// machine list, and is not leaving.
func (d *Daemon) Ready() bool {
	return d.config.Load() != nil && d.hasMachineList.Load() && !d.leaving.Load()
}

// Self returns this entry VM as advertised to others.
func (d *Daemon) Self() fleet.VM { return d.self }

// Revision returns the revision of the catalogue in force; 0 before the first.
func (d *Daemon) Revision() uint64 { return revisionNumber(d.config.Load()) }

// PeerStats returns the counters of the transport between entry VMs.
func (d *Daemon) PeerStats() peer.Stats { return d.peers.Stats() }

// Connections returns the number of callers' open connections.
func (d *Daemon) Connections() int { return d.callers.Connections() }

// KnownVMs returns the number of live entry VMs known here, this one included.
func (d *Daemon) KnownVMs() int {
	n := 0
	for _, vm := range d.known.Load().byID {
		if vm.State == fleet.Live {
			n++
		}
	}
	return n
}

// Superseded returns a channel that is closed when a process that started later
// uses this entry VM's id. An id must name one process, so this one should stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Violations returns the number of invariant violations since the start.
func (d *Daemon) Violations() int64 { return d.metrics.violations.Load() }

// violation counts and logs an invariant violation. The process continues, since
// serving callers matters more than stopping.
func (d *Daemon) violation(v dispatch.Violation) {
	d.metrics.violations.Add(1)
	d.log.WithFields(logrus.Fields{"invariant": v.Invariant, "detail": v.Detail}).Error("invariant violated")
}
