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

// Platform is what the daemon needs of the platform.
type Platform interface {
	platform.Store
	platform.Machines
}

// Daemon is one entry VM.
type Daemon struct {
	set      *settings.Settings
	log      *logrus.Entry
	platform Platform
	self     fleet.VM
	epoch    epoch

	core    *Core
	calls   calls
	metrics *metrics
	tracer  *tracer
	pool    *outbound.Pool
	callers *inbound.Server
	peers   *peer.Transport
	link    peer.Link // nil outside of tests
	started atomic.Bool
	admin   *inbound.Server
	lookups lookups
	known   atomic.Pointer[knownVMs]
	config  atomic.Pointer[catalogue.Catalogue]
	leaving atomic.Bool

	superseded     chan struct{} // closed when another process runs under this id
	supersededOnce sync.Once
	minters        sync.Pool

	// Addresses, touched only between steps of the core.
	targets map[fleet.TargetID]fleet.Target
	vms     map[fleet.VMID]fleet.VM

	blocks     *engine.BlockTableLoaded // nil without a table
	reader     *store.Reader
	writer     *store.Writer
	platformUp atomic.Bool
	watching   atomic.Bool // the platform's machine list
	listed     atomic.Bool // a machine list is in force
	eligible   atomic.Bool // may try for the lease of the shift runner

	adminPages inbound.Handler

	peerAddr  string
	adminAddr string
	ctx       context.Context // ends when the daemon stops
	cancel    context.CancelFunc
	loops     loops
	cleaned   sync.Once
}

// epoch turns the monotonic clock into instants that never fall.
type epoch struct {
	wall clock.Time
	at   time.Time
}

func newEpoch() epoch {
	t := time.Now()
	return epoch{wall: clock.FromWall(t), at: t}
}

func (e epoch) now() clock.Time { return e.wall.Add(time.Since(e.at)) }

func (d *Daemon) now() clock.Time { return d.epoch.now() }

// Option changes how a daemon is set up, for tests.
type Option func(*Daemon)

// WithLink puts l on the way of frames to other entry VMs.
func WithLink(l peer.Link) Option { return func(d *Daemon) { d.link = l } }

// Start provisions a daemon and begins to serve. Nothing is left running when
// it returns an error.
func Start(set *settings.Settings, p Platform, log *logrus.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		set:      set,
		log:      log.WithField("vm", set.ID),
		platform: p,
		epoch:    newEpoch(),
		metrics:  newMetrics(),
		targets:  make(map[fleet.TargetID]fleet.Target),
		vms:      make(map[fleet.VMID]fleet.VM),
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
	if d.tracer, err = newTracer(d.set.TraceExporter, d.set.TraceSample); err != nil {
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
	d.self = d.describe(inc)
	d.newCore()
	d.expose()
	d.started.Store(true)
	return nil
}

func (d *Daemon) provisionPool() error {
	var err error
	d.pool, err = outbound.NewPool(outbound.Options{
		DialTimeout:    d.set.DialTimeout,
		IdleTimeout:    outboundIdle,
		MaxAnswerBytes: d.set.MaxAnswerBytes,
		Pollers:        d.set.Pollers,
		Now:            d.now,
		Dial:           net.DialTimeout,
	})
	return err
}

func (d *Daemon) provisionCallers() error {
	var err error
	d.callers, err = inbound.Listen(d.set.CallAddr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   d.set.MaxHeadBytes,
			BodyBytes:   d.set.MaxBodyBytes,
			ReadTimeout: d.set.ReadTimeout,
			IdleTimeout: d.set.IdleTimeout,
		},
		WriteTimeout: d.set.WriteTimeout,
		Pollers:      d.set.Pollers,
		Refusal:      refusalByStatus,
		Known:        hasToken,
	})
	return err
}

// outboundIdle is how long a free connection to a target is kept. It is
// shorter than the idle timeouts usual at servers, so that the target seldom
// closes a connection just as a request is written to it.
const outboundIdle = 15 * time.Second

// describe returns this entry VM as others are to know it. The incarnation is
// the start's wall clock: a restart takes a higher one without any store.
func (d *Daemon) describe(inc fleet.Incarnation) fleet.VM {
	return fleet.VM{
		ID:          d.set.ID,
		Region:      d.set.Region,
		Domain:      d.set.Domain,
		Site:        d.set.Site,
		CallAddr:    orElse(d.set.CallAdvertise, d.callers.Addr()),
		PeerAddr:    orElse(d.set.PeerAdvertise, d.peerAddr),
		AdminAddr:   orElse(d.set.AdminAdvertise, d.adminAddr),
		Incarnation: inc,
	}
}

func orElse(v, def string) string {
	if v != "" {
		return v
	}
	return def
}

func (d *Daemon) newCore() {
	seed := d.set.Seed
	if seed == 0 {
		seed = uint64(d.now())
	}
	eng := engine.New(engine.Options{
		Self:     d.self,
		FleetKey: []byte(d.set.FleetKey),
		Seed:     seed,
		Now:      d.now(),
		Dispatch: dispatch.Options{Policy: d.set.Policy},
		Member:   member.Options{Seeds: d.set.Seeds},
		NearRTT:  d.set.NearRTT,
		FarRTT:   d.set.FarRTT,
	})
	d.learnVMs([]fleet.VM{d.self})
	alone := steer.New(steer.Inputs{Self: d.self.Region, VMs: []fleet.VM{d.self}})
	d.lookups.views.Store(&views{shifted: alone, unshifted: alone})
	d.provisionStore()
	d.core = newCore(d.now, eng, d)
}

// expose adds the numbers that other packages count to the metrics.
func (d *Daemon) expose() {
	d.metrics.set("peer", func() any { return d.peers.Stats() })
	d.metrics.set("caller_connections", func() any { return d.callers.Connections() })
	d.metrics.set("revision", func() any { return revisionNumber(d.config.Load()) })
	d.metrics.set("known_vms", func() any { return d.KnownVMs() })
	d.metrics.set("platform_reachable", func() any { return d.platformUp.Load() })
	d.metrics.set("configuration", func() any {
		var c config.Counters
		d.core.Ask(func(_ clock.Time, e *engine.Engine) { c = e.Config().Counters() })
		return c
	})
	d.metrics.set("loads", func() any {
		var l []dispatch.ServiceLoad
		d.core.Ask(func(_ clock.Time, e *engine.Engine) { l = e.OwnLoads() })
		return l
	})
}

// run starts the daemon's loops.
func (d *Daemon) run() {
	if d.blocks != nil {
		d.core.Post(d.blocks)
	}
	d.core.Post(&engine.Tick{})
	d.callers.Serve(d)
	d.admin.Serve(d.adminPages)
	d.loop(d.watchMachines)
	d.loop(d.runDuty)
}

func (d *Daemon) loop(f func()) { d.loops.start(f) }

// CallAddr returns the address for callers.
func (d *Daemon) CallAddr() string { return d.self.CallAddr }

// AdminAddr returns the address for operators.
func (d *Daemon) AdminAddr() string { return d.self.AdminAddr }

// Ready reports whether this entry VM can serve: it has a configuration and a
// machine list, and is not leaving.
func (d *Daemon) Ready() bool {
	return d.config.Load() != nil && d.listed.Load() && !d.leaving.Load()
}

// Self returns this entry VM as others know it.
func (d *Daemon) Self() fleet.VM { return d.self }

// Revision returns the catalogue revision in force here; 0 before the first.
func (d *Daemon) Revision() uint64 { return revisionNumber(d.config.Load()) }

// PeerStats returns what the transport between entry VMs has counted.
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

// Superseded is closed when another process, started later, runs under this
// entry VM's id. Both would be reached under one name, so this one should stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Violations returns how many broken invariants have been seen.
func (d *Daemon) Violations() int64 { return d.metrics.violations.Load() }

// violation counts and logs a broken invariant. It does not end the process:
// callers are still better served than not.
func (d *Daemon) violation(v dispatch.Violation) {
	d.metrics.violations.Add(1)
	d.log.WithFields(logrus.Fields{"invariant": v.Invariant, "detail": v.Detail}).Error("invariant broken")
}
