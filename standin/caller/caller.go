package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/standin/link"
)

const (
	// DefaultTokens is how many tokens a look-up asks for.
	DefaultTokens = 16
	// DefaultDeadline bounds a request that states no deadline.
	DefaultDeadline = 10 * time.Second

	// maxResends bounds the re-sends of an idempotent request that may have
	// run.
	maxResends = 2
	// maxNotRunSends bounds the sends of one request that were not run.
	maxNotRunSends = 4
	// lookupRounds and lookupPause bound the tries of a look-up; a round
	// asks every entry address once.
	lookupRounds = 3
	lookupPause  = 50 * time.Millisecond

	dialTimeout  = 2 * time.Second
	maxIdleConns = 1024
	// seedStream separates the generators of callers from other users of a
	// seed.
	seedStream = 0x63616c6c65720001
)

// Options configures callers.
type Options struct {
	// EntryAddrs are the host:port at which a look-up may be asked for, in
	// order of preference.
	EntryAddrs []string
	// Targets are host:port of targets. If there are any, requests go
	// straight to them in turn, without a look-up: the baseline.
	Targets []string
	// Client is the address that look-ups are for, such as "10.1.2.3".
	Client string
	// Tokens is how many tokens each look-up asks for; zero means
	// DefaultTokens.
	Tokens int
	// AttemptTimeout bounds one send of a request that may be sent again;
	// zero means half of the request's deadline.
	AttemptTimeout time.Duration
	// ResendLost sends a non-idempotent request whose answer was lost once
	// more, with its token.
	ResendLost bool
	// DuplicateShare is the part of the non-idempotent requests that are
	// sent a second time, with the same token, after they are over. This is
	// not a caller's part but its misbehaviour.
	DuplicateShare float64
	// Latency returns the one-way latency to a host:port; nil means none.
	Latency func(addr string) time.Duration
	// Seed starts the generator of the caller's choices.
	Seed uint64
}

// Caller is the client library for one client address. It is safe for
// concurrent use.
type Caller struct {
	options Options
	http    *http.Client

	mu              sync.Mutex
	rand            *rand.Rand
	cache           map[fleet.ServiceName]*cachedLookup
	nextTargetIndex int // index of the next of Options.Targets
}

// direct reports whether requests go straight to targets.
func (c *Caller) direct() bool { return len(c.options.Targets) > 0 }

// New returns a caller.
func New(o Options) *Caller { return NewMany(o, []string{o.Client})[0] }

// NewMany returns one caller for each client address. They share their
// connections.
func NewMany(o Options, clients []string) []*Caller {
	if o.Tokens == 0 {
		o.Tokens = DefaultTokens
	}
	dialer := &link.Dialer{Latency: o.Latency, Timeout: dialTimeout}
	h := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}
	var cs []*Caller
	for i, client := range clients {
		own := o
		own.Client = client
		cs = append(cs, &Caller{
			options: own,
			http:    h,
			rand:    rand.New(rand.NewPCG(o.Seed+uint64(i), seedStream)),
			cache:   map[fleet.ServiceName]*cachedLookup{},
		})
	}
	return cs
}

// Close closes idle connections, also those of the callers made together
// with c.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Request is one logical request.
type Request struct {
	ID         string // unique; the targets' records go by it
	Service    fleet.ServiceName
	Path       string // below the service, without a leading slash
	Idempotent bool
	Body       []byte
	AnswerSize int           // bytes of the answer; zero means payload.DefaultSize
	Chunked    bool          // whether the answer comes without a length
	Deadline   time.Duration // for all sends together; zero means DefaultDeadline
}

// Outcome is what became of a request, as the caller saw it.
type Outcome struct {
	ID         string
	Service    fleet.ServiceName
	Client     string
	Idempotent bool
	// Verdict joins those of all sends. It is NotRun if there was none.
	Verdict verdict.Verdict
	// Reason is that of the last send without an answer.
	Reason verdict.Reason
	// Answered says that a whole answer came; Wrong that it was not whole or
	// not the request's own although it passed for that.
	Answered bool
	Wrong    bool
	Status   int // of the last answer; 0 without one

	Sends     int
	Lost      int // sends that ended by a lost connection or a cut answer
	TimedOut  int // sends that ended by their timeout
	Unmarked  int // error answers without a verdict
	Duplicate bool

	EntryVM fleet.VMID // of the last send
	Region  fleet.Region
	Target  fleet.TargetID // that answered
	Latency time.Duration
}

// Do carries out one request to its end.
func (c *Caller) Do(ctx context.Context, r Request) Outcome {
	if r.Deadline == 0 {
		r.Deadline = DefaultDeadline
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	p := &progress{
		caller:  c,
		request: r,
		tried:   map[fleet.VMID]bool{},
		outcome: Outcome{
			ID:         r.ID,
			Service:    r.Service,
			Client:     c.options.Client,
			Idempotent: r.Idempotent,
			Verdict:    verdict.NotRun,
		},
	}
	p.run(ctx)
	p.outcome.Latency = time.Since(start)
	p.sendDuplicate(ctx)
	return p.outcome
}

// sample reports true in the given part of all calls.
func (c *Caller) sample(share float64) bool {
	if share <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64() < share
}
