package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// DefaultMaxInFlight limits the requests of a load that are in flight.
	DefaultMaxInFlight = 4096
	// idPrefixLength is the length of the UUID prefix in a load's request IDs.
	idPrefixLength = 8
)

// Kind describes one kind of request in a load.
type Kind struct {
	Service    fleet.ServiceName
	Path       string
	Idempotent bool
	Weight     float64 // relative to the other kinds
	BodySize   int     // bytes of the request body
	AnswerSize int     // bytes of the answer
	Deadline   time.Duration
}

// Load is an open-loop load: requests arrive as a Poisson process, whether or
// not earlier requests have been answered.
type Load struct {
	Callers []*Caller // chosen at random for each request
	Kinds   []Kind
	Rate    float64 // requests per second
	// Duration and Count limit the load; at least one must be set.
	Duration time.Duration
	Count    int
	// MaxInFlight limits the requests in flight; zero means
	// DefaultMaxInFlight. Arrivals beyond it are counted as dropped and not
	// sent.
	MaxInFlight int
	Seed        uint64
}

// Run is a running load.
type Run struct {
	load        Load
	prefix      string
	rand        *rand.Rand
	totalWeight float64 // sum of the weights of all kinds
	bodies      [][]byte
	requests    sync.WaitGroup
	finished    chan struct{}

	mu       sync.Mutex
	inFlight int
	report   *Report
}

// Start starts the load. It generates requests until Duration or Count is
// reached or ctx ends, and then waits for the requests in flight.
func (l Load) Start(ctx context.Context) (*Run, error) {
	if err := l.validate(); err != nil {
		return nil, err
	}
	if l.MaxInFlight == 0 {
		l.MaxInFlight = DefaultMaxInFlight
	}
	r := &Run{
		load:     l,
		prefix:   uuid.NewString()[:idPrefixLength],
		rand:     rand.New(rand.NewPCG(l.Seed, seedStream)),
		finished: make(chan struct{}),
		report:   newReport(),
	}
	for _, k := range l.Kinds {
		r.totalWeight += k.Weight
		r.bodies = append(r.bodies, make([]byte, k.BodySize))
	}
	go r.generate(ctx)
	return r, nil
}

func (l Load) validate() error {
	switch {
	case len(l.Callers) == 0 || len(l.Kinds) == 0:
		return fmt.Errorf("caller: load has %d callers and %d kinds, must have at least one of each", len(l.Callers), len(l.Kinds))
	case l.Rate <= 0:
		return fmt.Errorf("caller: load rate is %v, must be positive", l.Rate)
	case l.Duration <= 0 && l.Count <= 0:
		return fmt.Errorf("caller: load has neither a duration nor a count")
	}
	for _, k := range l.Kinds {
		if k.Weight <= 0 {
			return fmt.Errorf("caller: weight of service %q is %v, must be positive", k.Service, k.Weight)
		}
	}
	return nil
}

// generate starts each request at its planned arrival, or immediately if that
// time has passed.
func (r *Run) generate(ctx context.Context) {
	defer close(r.finished)
	defer r.requests.Wait()
	start := time.Now()
	var at time.Duration
	for i := 0; r.load.Count <= 0 || i < r.load.Count; i++ {
		at += time.Duration(r.rand.ExpFloat64() / r.load.Rate * float64(time.Second))
		if r.load.Duration > 0 && at > r.load.Duration {
			return
		}
		arrival := start.Add(at)
		if !sleepUntil(ctx, arrival) {
			return
		}
		c := r.load.Callers[r.rand.IntN(len(r.load.Callers))]
		req := r.newRequest(i)
		if !r.admit() {
			continue
		}
		// The end of ctx stops new arrivals, not the requests in flight.
		go r.do(context.WithoutCancel(ctx), c, req, arrival)
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return sleep(ctx, d)
}

func (r *Run) newRequest(i int) Request {
	k := r.pickKind()
	kind := r.load.Kinds[k]
	return Request{
		ID:         fmt.Sprintf("%s-%d", r.prefix, i),
		Service:    kind.Service,
		Path:       kind.Path,
		Idempotent: kind.Idempotent,
		Body:       r.bodies[k],
		AnswerSize: kind.AnswerSize,
		Deadline:   kind.Deadline,
	}
}

// pickKind returns the index of a random kind, chosen by weight.
func (r *Run) pickKind() int {
	x := r.rand.Float64() * r.totalWeight
	for i, k := range r.load.Kinds {
		x -= k.Weight
		if x < 0 {
			return i
		}
	}
	return len(r.load.Kinds) - 1
}

func (r *Run) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.load.MaxInFlight {
		r.report.Dropped++
		return false
	}
	r.inFlight++
	r.report.PeakInFlight = max(r.report.PeakInFlight, r.inFlight)
	r.requests.Add(1)
	return true
}

func (r *Run) do(ctx context.Context, c *Caller, req Request, arrival time.Time) {
	defer r.requests.Done()
	late := time.Since(arrival)
	o := c.Do(ctx, req)
	o.Latency += late
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.report.add(o)
}

// Counts returns the counts so far.
func (r *Run) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.Counts
}

// Wait waits until the load and all its requests have ended.
func (r *Run) Wait() *Report {
	<-r.finished
	return r.report
}
