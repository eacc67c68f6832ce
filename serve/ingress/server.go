package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/serve/core"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/kv"
	"github.com/azurethread/azurethread/serve/outbound"
	"github.com/azurethread/azurethread/serve/peer"
)

// Server is one entry VM.
type Server struct {
	settings      *Settings
	startSettings Settings                           // as read at the start
	reloadable    atomic.Pointer[reloadableSettings] // the current ones
	store         kv.Store
	log           logrus.FieldLogger
	now           func() clock.Time

	core       *core.Core[*ingress.Reducer]
	answers    *outbound.Budget // for answers of targets and gateways
	targetPool *outbound.Pool   // connections to targets
	calls      calls

	gatewayPool   *outbound.Pool  // connections to gateways
	gatewayServer *inbound.Server // for requests that this VM forwards; nil: it is no gateway
	deploymentTag string          // see forwardHeader

	callers       *inbound.Account // what the clients of the servers below hold
	callerServer  *inbound.Server
	readyServer   *inbound.Server
	lookupServer  *inbound.Server
	metricsServer *inbound.Server // nil: metrics are not served

	members atomic.Pointer[memberList]  // entry VMs for answers to look-ups
	table   atomic.Pointer[route.Table] // of the configuration in force; nil if there is none yet
	leaving atomic.Bool                 // a planned stop has begun

	peers          *peer.Transport
	copyMu         sync.Mutex
	copy           mirror.Mirror       // of the store; guarded by copyMu
	membersByKey   map[string]fleet.VM // entry VMs in the copy, by key; guarded by copyMu
	relayTurn      atomic.Int64        // selects the next VMs that askNeighbours asks
	readers        reader.Selector     // used only by followStore
	relayReceipts  chan relayReceipt
	relayAssembler relayAssembler
	packedCopies   packedCopies
	awaiting       map[fleet.VMID]bool // VMs waiting for this VM's first copy; guarded by copyMu
	// awaitingRetained are VMs waiting for what this VM retains in an era that it has not
	// read yet; guarded by copyMu.
	awaitingRetained map[fleet.VMID]bool

	storeEra         atomic.Int64 // the latest era that is known; noEra: none
	eraNotedAt       atomic.Int64 // when it became known, a clock.Time
	watchMu          sync.Mutex
	cancelWatch      context.CancelFunc // of the watch in progress; guarded by watchMu
	expiry           *time.Timer        // see scheduleExpiry; guarded by copyMu
	eraNoted         chan struct{}      // a later era is known
	eraChanged       chan struct{}      // the copy has come into a new era
	storeUnreachable atomic.Bool        // the last call to the store failed
	storeFailedAt    atomic.Int64       // when a call last failed, a clock.Time
	storeReadAt      atomic.Int64       // when the copy last matched the store, a clock.Time
	// behindSince is since when this VM has known of changes in the store that it has not
	// read, 0 if it knows of none.
	behindSince atomic.Int64
	// watchUnanswered means that the store has not answered the latest watch in time: its
	// answer may be too large. Used only by followStore.
	watchUnanswered bool
	// storeFailures counts failed calls.
	storeFailures atomic.Int64
	metrics       *metrics
	transitClock  transitClock
	quarantines   quarantineQueue
	sampler       sampler
	quotaSampler  sampler // of refusals over quota
	relist        chan struct{}
	listedAt      clock.Time // when keepRegistered last wrote this VM's key
	// listedRevision is the revision of that write.
	listedRevision mirror.Revision

	ctx          context.Context
	cancel       context.CancelFunc
	loops        sync.WaitGroup
	shutdownOnce sync.Once
}

// Limits that apply until there is a configuration, and those that a configuration
// does not set.
const (
	defaultHeadBytes   = 64 << 10
	defaultBodyBytes   = 1 << 20
	defaultReadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// bodyTimeout limits reading the body of a request. The head has its own limit.
	bodyTimeout = 20 * time.Second
	// writeTimeout limits sending an answer to a caller.
	writeTimeout = 20 * time.Second
	// maxAnswerBytes limits the answer of a target, which is buffered completely.
	maxAnswerBytes = 32 << 20
	// maxBodyBytes limits the body of a request, which is buffered completely,
	// whatever the configuration allows.
	maxBodyBytes = 64 << 20
	// bodyMemoryDivisor: the bodies of requests may use 1/bodyMemoryDivisor of the
	// memory. A body is in memory twice while it is read, and once more while it is
	// sent.
	bodyMemoryDivisor = 8
	// headMemoryDivisor: the heads of callers' requests may use 1/headMemoryDivisor of the
	// memory, from their first byte until their requests are answered.
	headMemoryDivisor = 8
	// answerMemoryDivisor: answers may use 1/answerMemoryDivisor of the memory until
	// their callers have taken them. A body is in memory twice while it grows, and while
	// it is sent, and garbage may be as much again.
	answerMemoryDivisor = 8
	// maxPipelinedPages bounds the look-ups, checks and pages that wait on one connection.
	maxPipelinedPages = 4
	// targetIdleTimeout is how long an idle connection to a target is kept.
	targetIdleTimeout = 8 * time.Second
	// targetConnectTimeout limits opening a connection if the Send sets no limit.
	targetConnectTimeout = time.Second
	// targetAckTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection: a target that has lost power or is behind a
	// partition never resets its connections. It is longer than the retransmissions
	// on a link that loses some packets.
	targetAckTimeout = 1500 * time.Millisecond
)

// Start starts an entry VM.
func Start(set *Settings, store kv.Store, log logrus.FieldLogger) (*Server, error) {
	s := &Server{settings: set, startSettings: *set, store: store, log: log, relist: make(chan struct{}, 1), eraNoted: make(chan struct{}, 1), eraChanged: make(chan struct{}, 1), relayReceipts: make(chan relayReceipt, maxRetainedSources), metrics: newMetrics()}
	s.copy = mirror.New(copyRules{set.Translate})
	s.reloadable.Store(set.reloadable())
	s.storeEra.Store(noEra)
	s.quarantines = newQuarantineQueue()
	s.quotaSampler.maxFailures = maxQuotaLinesPerSecond
	s.membersByKey = make(map[string]fleet.VM)
	s.awaiting, s.awaitingRetained = make(map[fleet.VMID]bool), make(map[fleet.VMID]bool)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	wall, mono := time.Now().UnixNano(), time.Now()
	s.now = func() clock.Time { return clock.Time(wall + int64(time.Since(mono))) }
	set.Self.Incarnation = fleet.Incarnation(s.now())
	s.transitClock.vm, s.transitClock.incarnation = set.Self.ID, set.Self.Incarnation
	s.relayTurn.Store(int64(xxhash.Sum64String(string(set.Self.ID)) % relayTurnRange))
	s.calls.byID = make(map[ingress.RequestID]*call)
	s.members.Store(newMemberList(nil))
	if err := s.provision(); err != nil {
		s.shutdown()
		return nil, fmt.Errorf("ingress: %w", err)
	}
	s.publishGauges()
	s.run()
	s.event(eventStart).WithField("vm", set.Self.ID).WithField("incarnation", set.Self.Incarnation).
		WithField("domain", set.Self.Domain).Info("entry VM started")
	return s, nil
}

func (s *Server) provision() error {
	var err error
	s.answers = outbound.NewBudget(s.settings.MemoryBytes / answerMemoryDivisor)
	if s.targetPool, err = s.newPool(targetIdleTimeout); err != nil {
		return err
	}
	r := ingress.New(ingress.Options{
		Self:      s.settings.Self.ID,
		Domain:    s.settings.Self.Domain,
		Regions:   s.settings.Regions,
		Bounds:    s.settings.Bounds,
		Hedge:     s.settings.Hedge,
		DrainTime: s.settings.DrainTime,
		Start:     s.now(),
		Admission: s.settings.Admission,
		Seed:      xxhash.Sum64String(string(s.settings.Self.ID)) ^ uint64(s.now()),
	})
	s.core = core.New(s.now, r, s.step(r), &ingress.Tick{})
	if err := s.startPeers(); err != nil {
		return err
	}
	if err := s.startGateway(); err != nil {
		return err
	}
	conns, err := inbound.ConnectionLimit(s.settings.Descriptors)
	if err != nil {
		return err
	}
	s.callers = inbound.NewAccount(s.settings.MemoryBytes/headMemoryDivisor, conns, s.callerRefused)
	for _, l := range []struct {
		server    **inbound.Server
		addr      string
		pipelined int
	}{
		{&s.callerServer, s.settings.Self.CallAddr, 0},
		{&s.readyServer, s.settings.ReadyAddr, maxPipelinedPages},
		{&s.lookupServer, s.settings.LookupAddr, maxPipelinedPages},
	} {
		if *l.server, err = s.listen(l.addr, l.pipelined); err != nil {
			return err
		}
	}
	s.settings.Self.CallAddr = s.callerServer.Addr() // with the port in use
	if s.settings.MetricsAddr == "" {
		return nil
	}
	if s.metricsServer, err = s.listen(s.settings.MetricsAddr, maxPipelinedPages); err != nil {
		// Serving requests matters more than serving metrics.
		s.event(eventStart).WithError(err).Error("metrics are not served")
		s.metricsServer = nil
	}
	return nil
}

// newPool returns a connection pool that closes connections after the given idle
// time.
func (s *Server) newPool(idle time.Duration) (*outbound.Pool, error) {
	return outbound.NewPool(outbound.Options{
		DialTimeout:    targetConnectTimeout,
		IdleTimeout:    idle,
		AckTimeout:     targetAckTimeout,
		MaxAnswerBytes: maxAnswerBytes,
		Budget:         s.answers,
		Pollers:        1,
		Now:            s.now,
		Dial:           dialTarget,
		Closed:         s.metrics.addSendConnClosed,
		Unsolicited:    s.unsolicited,
	})
}

func (s *Server) listen(addr string, pipelined int) (*inbound.Server, error) {
	return inbound.Listen(addr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   defaultHeadBytes,
			BodyBytes:   defaultBodyBytes,
			ReadTimeout: defaultReadTimeout,
			BodyTimeout: bodyTimeout,
			IdleTimeout: defaultIdleTimeout,
		},
		MaxBodyBytes:      maxBodyBytes,
		MaxBufferedBodies: s.settings.MemoryBytes / bodyMemoryDivisor,
		Account:           s.callers,
		MaxPipelined:      pipelined,
		WriteTimeout:      writeTimeout,
		Pollers:           1,
		Refusal:           func(int) (http.Header, []byte) { return nil, nil },
		Overlaps:          s.mayOverlap,
		Closed:            s.connectionClosed,
	})
}

// dialTarget opens a connection without keep-alive probes: idle connections are closed
// before probes would detect a failure.
func dialTarget(network, addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).Dial(network, addr)
}

// mayOverlap reports whether a request may be served concurrently with others
// that were pipelined on the same connection. Only idempotent requests may.
func (s *Server) mayOverlap(r *inbound.Request) bool {
	table := s.table.Load()
	if table == nil {
		return false
	}
	rt := table.Match(r.Header.Get("Host"), r.URI)
	return rt != nil && rt.Idempotent
}

func (s *Server) run() {
	s.callerServer.Serve(handlerFunc(s.serveCall))
	s.readyServer.Serve(handlerFunc(s.serveReady))
	s.lookupServer.Serve(handlerFunc(s.serveLookup))
	if s.gatewayServer != nil {
		s.gatewayServer.Serve(handlerFunc(s.serveForwarded))
	}
	if s.metricsServer != nil {
		s.metricsServer.Serve(handlerFunc(s.serveMetrics))
	}
	s.loop(s.followStore)
	s.loop(s.keepRegistered)
	s.loop(s.checkHealthWhileSilent)
	s.loop(s.logPlacementPeriodically)
	s.loop(s.writeQuarantines)
}

func (s *Server) loop(f func()) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		f()
	}()
}

// handlerFunc adapts a function to inbound.Handler.
type handlerFunc func(x *inbound.Exchange)

// Serve implements inbound.Handler.
func (f handlerFunc) Serve(x *inbound.Exchange) { f(x) }

// placement returns the reducer's status for the metrics.
func (s *Server) placement() ingress.Status {
	var st ingress.Status
	s.core.Query(func(now clock.Time, r *ingress.Reducer) { st = r.Status(now) })
	return st
}

// hedges returns the reducer's counts of second sends that save time, by service.
func (s *Server) hedges() map[fleet.ServiceName]hedge.Counts {
	var counts map[fleet.ServiceName]hedge.Counts
	s.core.Query(func(_ clock.Time, r *ingress.Reducer) { counts = r.Hedges() })
	return counts
}

// formatRetryAfter formats a duration for Retry-After: seconds with three
// decimals.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
