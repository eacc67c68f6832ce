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
	// DefaultTokens is the number of tokens that a look-up asks for.
	DefaultTokens = 16
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline = 10 * time.Second

	// maxResends limits the re-sends of an idempotent request that may have
	// run.
	maxResends = 2
	// maxNotRunSends limits the sends of one request that end as not-run.
	maxNotRunSends = 4
	// lookupRounds is the number of attempts of a look-up at each entry
	// address, with lookupPause between rounds.
	lookupRounds = 3
	lookupPause  = 50 * time.Millisecond

	dialTimeout  = 2 * time.Second
	maxIdleConns = 1024
	// seedStream is the PCG stream of callers, so that other users of the same
	// seed draw different numbers.
	seedStream = 0x63616c6c65720001
)

// Options configures callers.
type Options struct {
	// EntryAddrs lists host:port addresses for look-ups, in order of
	// preference.
	EntryAddrs []string
	// Targets lists host:port addresses of targets. If it is not empty,
	// requests go directly to the targets in turn, without a look-up, as a
	// baseline.
	Targets []string
	// Client is the client address sent in look-ups, such as "10.1.2.3".
	Client string
	// Tokens is the number of tokens that each look-up asks for; zero means
	// DefaultTokens.
	Tokens int
	// AttemptTimeout limits one send of a request that may be sent again;
	// zero means half of the request's deadline.
	AttemptTimeout time.Duration
	// ResendLost sends a non-idempotent request whose answer was lost once
	// more, with the same token.
	ResendLost bool
	// DuplicateShare is the share of non-idempotent requests that are sent a
	// second time, with the same token, after they have ended. It simulates a
	// faulty caller.
	DuplicateShare float64
	// Latency returns the one-way latency to a host:port; nil means none.
	Latency func(addr string) time.Duration
	// Seed seeds the caller's random choices.
	Seed uint64
}

// Caller sends requests for one client address. It is safe for concurrent use.
type Caller struct {
	options Options
	http    *http.Client

	mu              sync.Mutex
	rand            *rand.Rand
	cache           map[fleet.ServiceName]*cachedLookup
	nextTargetIndex int // index in Options.Targets, before the modulo
}

// direct reports whether requests go directly to targets.
func (c *Caller) direct() bool { return len(c.options.Targets) > 0 }

// New returns a caller.
func New(o Options) *Caller { return NewMany(o, []string{o.Client})[0] }

// NewMany returns one caller for each client address. The callers share one
// connection pool.
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
		callerOptions := o
		callerOptions.Client = client
		cs = append(cs, &Caller{
			options: callerOptions,
			http:    h,
			rand:    rand.New(rand.NewPCG(o.Seed+uint64(i), seedStream)),
			cache:   map[fleet.ServiceName]*cachedLookup{},
		})
	}
	return cs
}

// Close closes the idle connections of c and of all callers that share its
// connection pool.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Request is one logical request.
type Request struct {
	ID         string // unique; the targets count executions by it
	Service    fleet.ServiceName
	Path       string // relative to the service, without a leading slash
	Idempotent bool
	Body       []byte
	AnswerSize int           // bytes of the answer; zero means payload.DefaultSize
	Chunked    bool          // whether to ask for an answer without a length
	Deadline   time.Duration // for all sends together; zero means DefaultDeadline
}

// Outcome is the result of a request as seen by the caller.
type Outcome struct {
	ID         string
	Service    fleet.ServiceName
	Client     string
	Idempotent bool
	// Verdict combines the verdicts of all sends. It is NotRun without a send.
	Verdict verdict.Verdict
	// Reason is the reason of the last send without an answer.
	Reason verdict.Reason
	// Answered reports that a complete answer of a target was received.
	Answered bool
	// Wrong reports that an answer seemed complete but had wrong content or
	// belonged to another request.
	Wrong  bool
	Status int // of the last answer; 0 without one

	Sends           int
	Lost            int // sends that ended with a lost connection or a cut answer
	TimedOut        int // sends that timed out
	MissingVerdicts int // error answers without a valid verdict
	Duplicate       bool

	EntryVM fleet.VMID // that received the last send
	Region  fleet.Region
	Target  fleet.TargetID // that sent the answer
	Latency time.Duration
}

// Do sends one request, with re-sends, and returns its outcome.
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

// sample reports true for the given share of calls, at random.
func (c *Caller) sample(share float64) bool {
	if share <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.Float64() < share
}
