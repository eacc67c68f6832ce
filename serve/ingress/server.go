package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
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
	startSettings Settings                           // as they were read at the start
	reloadable    atomic.Pointer[reloadableSettings] // of the settings, what may change
	store         kv.Store
	log           logrus.FieldLogger
	now           func() clock.Time

	core       *core.Core[*ingress.Reducer]
	targetPool *outbound.Pool // to targets
	calls      calls

	gatewayPool   *outbound.Pool  // to entry VMs that carry requests
	gatewayServer *inbound.Server // from entry VMs that have this one carry; nil: it carries none
	deploymentTag string          // see carryHeader

	callerServer  *inbound.Server
	readyServer   *inbound.Server
	lookupServer  *inbound.Server
	metricsServer *inbound.Server // metrics; nil: not served

	members atomic.Pointer[memberList]  // entry VMs that look-ups may name
	table   atomic.Pointer[route.Table] // of the configuration in force; nil: none yet
	leaving atomic.Bool                 // a planned stop has begun

	peers          *peer.Transport
	copyMu         sync.Mutex
	copy           mirror.Mirror       // of the store; guarded by copyMu
	membersByKey   map[string]fleet.VM // entry VMs in the copy, by key; guarded by copyMu
	relayTurn      atomic.Int64        // of the entry VMs asked for their copies
	readers        reader.Selector     // touched by follow alone
	relayReceipts  chan relayReceipt
	relayAssembler relayAssembler
	packedCopies   packedCopies
	awaiting       map[fleet.VMID]bool // VMs that wait for the first copy; guarded by copyMu

	storeUnreachable atomic.Bool  // the last call to the store failed
	storeFailedAt    atomic.Int64 // when a call last failed, a clock.Time
	storeReadAt      atomic.Int64 // when the store last answered, a clock.Time
	// storeFailures counts calls that failed.
	storeFailures atomic.Int64
	metrics       *metrics
	quarantines   quarantineQueue
	sampler       sampler
	relist        chan struct{}
	listedAt      clock.Time // when register last wrote this VM's key

	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	closeOnce sync.Once
}

// Limits that hold until a configuration brings its own, and those that it
// does not have.
const (
	defaultHeadBytes   = 64 << 10
	defaultBodyBytes   = 1 << 20
	defaultReadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// bodyTimeout bounds the body of a request, whose head has its own bound.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds a caller's taking of an answer.
	writeTimeout = 20 * time.Second
	// maxAnswerBytes bounds the answer of a target, which is held whole.
	maxAnswerBytes = 32 << 20
	// maxBodyBytes bounds the body of a request, which is held whole, whatever
	// a configuration allows.
	maxBodyBytes = 64 << 20
	// bodyMemoryDivisor is the part of the memory that bodies of requests may take. Each
	// is there twice while it is read, and once more while it is sent.
	bodyMemoryDivisor = 8
	// targetIdleTimeout is how long a free connection to a target is kept.
	targetIdleTimeout = 8 * time.Second
	// targetConnectTimeout bounds the opening of a connection where the decision
	// states no bound.
	targetConnectTimeout = time.Second
	// targetAckTimeout is how long sent bytes may lack an acknowledgement before
	// the kernel gives a connection up: a target without power, or one behind a
	// partition, never resets its connections. It is beyond the retransmissions
	// of a link that loses some packets.
	targetAckTimeout = 1500 * time.Millisecond
)

// Start provisions an entry VM and has it serve.
func Start(set *Settings, store kv.Store, log logrus.FieldLogger) (*Server, error) {
	s := &Server{settings: set, startSettings: *set, store: store, log: log, relist: make(chan struct{}, 1), relayReceipts: make(chan relayReceipt, 1), metrics: newMetrics()}
	s.reloadable.Store(set.reloadable())
	s.quarantines = newQuarantineQueue()
	s.membersByKey = make(map[string]fleet.VM)
	s.awaiting = make(map[fleet.VMID]bool)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	wall, mono := time.Now().UnixNano(), time.Now()
	s.now = func() clock.Time { return clock.Time(wall + int64(time.Since(mono))) }
	set.Self.Incarnation = fleet.Incarnation(s.now())
	s.relayTurn.Store(int64(xxhash.Sum64String(string(set.Self.ID)) % relayTurnRange))
	s.calls.byID = make(map[ingress.RequestID]*call)
	s.members.Store(newMemberList(nil))
	if err := s.provision(); err != nil {
		s.close()
		return nil, fmt.Errorf("ingress: %w", err)
	}
	s.publishGauges()
	s.run()
	s.event(eventStart).WithField("vm", set.Self.ID).WithField("incarnation", set.Self.Incarnation).
		WithField("domain", set.Self.Domain).Info("entry VM has started")
	return s, nil
}

func (s *Server) provision() error {
	var err error
	if s.targetPool, err = s.newPool(targetIdleTimeout); err != nil {
		return err
	}
	r := ingress.New(ingress.Options{
		Self:      s.settings.Self.ID,
		Domain:    s.settings.Self.Domain,
		Regions:   s.settings.Regions,
		Bounds:    s.settings.Bounds,
		DrainTime: s.settings.DrainTime,
		Start:     s.now(),
		Seed:      xxhash.Sum64String(string(s.settings.Self.ID)) ^ uint64(s.now()),
	})
	s.core = core.New(s.now, r, s.step(r), &ingress.Tick{})
	if err := s.startPeers(); err != nil {
		return err
	}
	if err := s.startGateway(); err != nil {
		return err
	}
	for _, l := range []struct {
		at   **inbound.Server
		addr string
	}{{&s.callerServer, s.settings.Self.CallAddr}, {&s.readyServer, s.settings.ReadyAddr}, {&s.lookupServer, s.settings.LookupAddr}} {
		if *l.at, err = s.listen(l.addr); err != nil {
			return err
		}
	}
	s.settings.Self.CallAddr = s.callerServer.Addr() // with the port in use
	if s.settings.MetricsAddr == "" {
		return nil
	}
	if s.metricsServer, err = s.listen(s.settings.MetricsAddr); err != nil {
		// Requests are worth more than figures about them.
		s.event(eventStart).WithError(err).Error("metrics are not served")
		s.metricsServer = nil
	}
	return nil
}

// newPool makes a pool of connections that are free for idle at most.
func (s *Server) newPool(idle time.Duration) (*outbound.Pool, error) {
	return outbound.NewPool(outbound.Options{
		DialTimeout:    targetConnectTimeout,
		IdleTimeout:    idle,
		MaxAnswerBytes: maxAnswerBytes,
		Pollers:        1,
		Now:            s.now,
		Dial:           dialTarget,
	})
}

func (s *Server) listen(addr string) (*inbound.Server, error) {
	return inbound.Listen(addr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   defaultHeadBytes,
			BodyBytes:   defaultBodyBytes,
			ReadTimeout: defaultReadTimeout,
			BodyTimeout: bodyTimeout,
			IdleTimeout: defaultIdleTimeout,
		},
		MaxBodyBytes: maxBodyBytes,
		HeldBytes:    s.settings.MemoryBytes / bodyMemoryDivisor,
		WriteTimeout: writeTimeout,
		Pollers:      1,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
		Overlaps:     s.mayOverlap,
	})
}

// dialTarget opens a connection that fails soon when its other end has gone
// without a word.
func dialTarget(network, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1, // free connections are closed sooner than probes would tell
		Control: func(_, _ string, raw syscall.RawConn) error {
			var opt error
			err := raw.Control(func(fd uintptr) {
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(targetAckTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return opt
		},
	}
	return d.Dial(network, addr)
}

// mayOverlap reports whether a request may be served beside others that were sent
// ahead on the same connection: only one that may be repeated.
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

// leaveDelay is how long a leaving VM goes on taking requests. Callers use a
// look-up's answer for about that long, and a request to a VM that has ended
// costs them another connection.
const leaveDelay = 1500 * time.Millisecond

// stopMargin is kept of the time that a planned stop may take, for the end of
// the process itself.
const stopMargin = 500 * time.Millisecond

// Stop shuts the entry VM down. It leaves the look-ups first, tells callers to
// use other connections, and lets the requests in flight end.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.reloadable.Load().stopTimeout-stopMargin)
	defer cancel()
	s.leaving.Store(true)
	s.callerServer.Leave()
	if s.gatewayServer != nil {
		s.gatewayServer.Leave()
	}
	s.event(eventStop).WithField("in_flight", s.calls.len()).Info("entry VM is leaving")
	s.cancel() // register gives the lease up
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	s.callerServer.Refuse()
	err := s.callerServer.Stop(ctx)
	if s.gatewayServer != nil {
		// Only now: other entry VMs learn later than callers that this one leaves.
		s.gatewayServer.Refuse()
		err = errors.Join(err, s.gatewayServer.Stop(ctx))
	}
	s.close()
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.event(eventStop).Info("entry VM has stopped")
	return nil
}

// close closes everything; only the first call does anything.
func (s *Server) close() { s.closeOnce.Do(s.closeAll) }

func (s *Server) closeAll() {
	s.cancel()
	s.loops.Wait()
	if s.peers != nil {
		flush, cancel := context.WithTimeout(context.Background(), peerFlushTimeout)
		defer cancel()
		_ = s.peers.Close(flush) // what is lost is made up for by timeouts
	}
	if s.core != nil {
		s.core.Close()
	}
	for _, l := range []*inbound.Server{s.callerServer, s.gatewayServer, s.readyServer, s.lookupServer, s.metricsServer} {
		if l != nil {
			l.Close() // what is in flight has had its time
		}
	}
	for _, p := range []*outbound.Pool{s.targetPool, s.gatewayPool} {
		if p != nil {
			p.Close()
		}
	}
}

// placement is what the reducer holds, for the metrics.
func (s *Server) placement() ingress.Status {
	var st ingress.Status
	s.core.Ask(func(now clock.Time, r *ingress.Reducer) { st = r.Status(now) })
	return st
}

// peerFlushTimeout bounds the sending of messages that wait for other entry VMs.
const peerFlushTimeout = 200 * time.Millisecond

// formatRetryAfter is the form of a time to come back: seconds with fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
