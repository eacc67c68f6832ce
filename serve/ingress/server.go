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
	set     *Settings
	started Settings               // as they were read at the start
	tuned   atomic.Pointer[tuning] // of the settings, what may change
	store   kv.Store
	log     logrus.FieldLogger
	now     func() clock.Time

	core  *core.Core[*ingress.Reducer]
	pool  *outbound.Pool // to targets
	calls calls

	gateways  *outbound.Pool  // to entry VMs that carry requests
	carriers  *inbound.Server // from entry VMs that have this one carry; nil: it carries none
	carryMark string          // see carryHeader

	callers *inbound.Server
	ready   *inbound.Server
	lookups *inbound.Server
	pages   *inbound.Server // metrics; nil: not served

	members atomic.Pointer[memberList]  // entry VMs that look-ups may name
	table   atomic.Pointer[route.Table] // of the configuration in force; nil: none yet
	leaving atomic.Bool                 // a planned stop has begun

	peers     *peer.Transport
	copyMu    sync.Mutex
	copy      mirror.Mirror       // of the store; guarded by copyMu
	listing   map[string]fleet.VM // entry VMs in the copy, by key; guarded by copyMu
	relayTurn atomic.Int64        // of the entry VMs asked for their copies
	readers   reader.Selector     // touched by follow alone
	relayed   chan relayWord
	partial   relayPages
	packed    packedCopies
	awaiting  map[fleet.VMID]bool // VMs that wait for the first copy; guarded by copyMu

	storeLost    atomic.Bool  // the last call to the store failed
	storeTrouble atomic.Int64 // when a call last failed, a clock.Time
	storeHeard   atomic.Int64 // when the store last answered, a clock.Time
	// storeFailures counts calls that failed.
	storeFailures atomic.Int64
	metrics       *metrics
	quarantines   quarantineWrites
	lines         sampler
	relist        chan struct{}
	listed        clock.Time // when register last wrote this VM's key

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	closed sync.Once
}

// Limits that hold until a configuration brings its own, and those that it
// does not have.
const (
	firstHeadBytes   = 64 << 10
	firstBodyBytes   = 1 << 20
	firstReadTimeout = 5 * time.Second
	firstIdleTimeout = 60 * time.Second
	// bodyTimeout bounds the body of a request, whose head has its own bound.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds a caller's taking of an answer.
	writeTimeout = 20 * time.Second
	// maxAnswerBytes bounds the answer of a target, which is held whole.
	maxAnswerBytes = 32 << 20
	// maxBodyBytes bounds the body of a request, which is held whole, whatever
	// a configuration allows.
	maxBodyBytes = 64 << 20
	// bodyShare is the part of the memory that bodies of requests may take. Each
	// is there twice while it is read, and once more while it is sent.
	bodyShare = 8
	// targetIdle is how long a free connection to a target is kept.
	targetIdle = 8 * time.Second
	// targetConnect bounds the opening of a connection where the decision
	// states no bound.
	targetConnect = time.Second
	// targetSilence is how long sent bytes may lack an acknowledgement before
	// the kernel gives a connection up: a target without power, or one behind a
	// partition, never resets its connections. It is beyond the retransmissions
	// of a link that loses some packets.
	targetSilence = 1500 * time.Millisecond
)

// Start provisions an entry VM and has it serve.
func Start(set *Settings, store kv.Store, log logrus.FieldLogger) (*Server, error) {
	s := &Server{set: set, started: *set, store: store, log: log, relist: make(chan struct{}, 1), relayed: make(chan relayWord, 1), metrics: newMetrics()}
	s.tuned.Store(set.tuning())
	s.quarantines = newQuarantineWrites()
	s.listing = make(map[string]fleet.VM)
	s.awaiting = make(map[fleet.VMID]bool)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	wall, mono := time.Now().UnixNano(), time.Now()
	s.now = func() clock.Time { return clock.Time(wall + int64(time.Since(mono))) }
	set.Self.Incarnation = fleet.Incarnation(s.now())
	s.relayTurn.Store(int64(xxhash.Sum64String(string(set.Self.ID)) % relayTurns))
	s.calls.byID = make(map[ingress.RequestID]*call)
	s.members.Store(newMemberList(nil))
	if err := s.provision(); err != nil {
		s.end()
		return nil, fmt.Errorf("ingress: %w", err)
	}
	s.publish()
	s.run()
	s.event(eventStart).WithField("vm", set.Self.ID).WithField("incarnation", set.Self.Incarnation).
		WithField("domain", set.Self.Domain).Info("entry VM has started")
	return s, nil
}

func (s *Server) provision() error {
	var err error
	if s.pool, err = s.newPool(targetIdle); err != nil {
		return err
	}
	r := ingress.New(ingress.Options{
		Self:      s.set.Self.ID,
		Domain:    s.set.Self.Domain,
		Regions:   s.set.Regions,
		Bounds:    s.set.Bounds,
		DrainTime: s.set.DrainTime,
		Start:     s.now(),
		Seed:      xxhash.Sum64String(string(s.set.Self.ID)) ^ uint64(s.now()),
	})
	s.core = core.New(s.now, r, s.step(r), &ingress.Tick{})
	if err := s.provisionPeers(); err != nil {
		return err
	}
	if err := s.provisionGateway(); err != nil {
		return err
	}
	for _, l := range []struct {
		at   **inbound.Server
		addr string
	}{{&s.callers, s.set.Self.CallAddr}, {&s.ready, s.set.ReadyAddr}, {&s.lookups, s.set.LookupAddr}} {
		if *l.at, err = s.listen(l.addr); err != nil {
			return err
		}
	}
	s.set.Self.CallAddr = s.callers.Addr() // with the port in use
	if s.set.MetricsAddr == "" {
		return nil
	}
	if s.pages, err = s.listen(s.set.MetricsAddr); err != nil {
		// Requests are worth more than figures about them.
		s.event(eventStart).WithError(err).Error("metrics are not served")
		s.pages = nil
	}
	return nil
}

// newPool makes a pool of connections that are free for idle at most.
func (s *Server) newPool(idle time.Duration) (*outbound.Pool, error) {
	return outbound.NewPool(outbound.Options{
		DialTimeout:    targetConnect,
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
			HeadBytes:   firstHeadBytes,
			BodyBytes:   firstBodyBytes,
			ReadTimeout: firstReadTimeout,
			BodyTimeout: bodyTimeout,
			IdleTimeout: firstIdleTimeout,
		},
		MaxBodyBytes: maxBodyBytes,
		HeldBytes:    s.set.MemoryBytes / bodyShare,
		WriteTimeout: writeTimeout,
		Pollers:      1,
		Refusal:      func(int) (http.Header, []byte) { return nil, nil },
		Overlaps:     s.overlaps,
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
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(targetSilence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return opt
		},
	}
	return d.Dial(network, addr)
}

// overlaps reports whether a request may be served beside others that were sent
// ahead on the same connection: only one that may be repeated.
func (s *Server) overlaps(r *inbound.Request) bool {
	table := s.table.Load()
	if table == nil {
		return false
	}
	rt := table.Match(r.Header.Get("Host"), r.URI)
	return rt != nil && rt.Idempotent
}

func (s *Server) run() {
	s.callers.Serve(handlerFunc(s.serveCall))
	s.ready.Serve(handlerFunc(s.serveReady))
	s.lookups.Serve(handlerFunc(s.serveLookup))
	if s.carriers != nil {
		s.carriers.Serve(handlerFunc(s.serveCarried))
	}
	if s.pages != nil {
		s.pages.Serve(handlerFunc(s.serveMetrics))
	}
	s.loop(s.follow)
	s.loop(s.register)
	s.loop(s.reportPlaced)
	s.loop(s.keepQuarantines)
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
	ctx, cancel := context.WithTimeout(context.Background(), s.tuned.Load().stopTimeout-stopMargin)
	defer cancel()
	s.leaving.Store(true)
	s.callers.Leave()
	if s.carriers != nil {
		s.carriers.Leave()
	}
	s.event(eventStop).WithField("in_flight", s.calls.len()).Info("entry VM is leaving")
	s.cancel() // register gives the lease up
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	s.callers.Refuse()
	err := s.callers.Stop(ctx)
	if s.carriers != nil {
		// Only now: other entry VMs learn later than callers that this one leaves.
		s.carriers.Refuse()
		err = errors.Join(err, s.carriers.Stop(ctx))
	}
	s.end()
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.event(eventStop).Info("entry VM has stopped")
	return nil
}

// end closes everything; only the first call does anything.
func (s *Server) end() { s.closed.Do(s.closeAll) }

func (s *Server) closeAll() {
	s.cancel()
	s.loops.Wait()
	if s.peers != nil {
		flush, cancel := context.WithTimeout(context.Background(), peerFlush)
		defer cancel()
		_ = s.peers.Close(flush) // what is lost is made up for by timeouts
	}
	if s.core != nil {
		s.core.Close()
	}
	for _, l := range []*inbound.Server{s.callers, s.carriers, s.ready, s.lookups, s.pages} {
		if l != nil {
			l.Close() // what is in flight has had its time
		}
	}
	for _, p := range []*outbound.Pool{s.pool, s.gateways} {
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

// peerFlush bounds the sending of messages that wait for other entry VMs.
const peerFlush = 200 * time.Millisecond

// retryAfter is the form of a time to come back: seconds with fractions.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
