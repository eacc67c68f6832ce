package shift

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
)

// Options tune planning; the limits that operators set are in
// catalogue.Limits. Zero values take the defaults.
type Options struct {
	// MaxAge is the age beyond which a figure is not used.
	MaxAge time.Duration
	// Settle is the time until a step of a running shift is in effect
	// everywhere: the propagation of the configuration plus the time for
	// which callers keep look-up answers of a running shift. Figures prove a
	// step only if their window began that long after it.
	Settle time.Duration
	// SettleSteady is the same for answers that callers received while the
	// shift was not running, which they keep for longer.
	SettleSteady time.Duration
	// BreachFor is how long fresh figures must show errors over their bound
	// before the shift rolls back.
	BreachFor time.Duration
	// BreachRequests is the least number of requests in a window for its
	// error share to be used.
	BreachRequests uint64
	// ColdFactor is the cost of a client at a receiver with cold caches, as a
	// multiple of its cost with warm caches.
	ColdFactor float64
	// SplitFactor is the largest part that one receiver of a shift to every
	// other region may receive, as a multiple of its proportional part.
	SplitFactor float64
	// MinStep is the smallest advance that is written; if the limits allow
	// less, the shift holds.
	MinStep catalogue.Share
	// BackSteps is the largest number of steps (Limits.Step) by which one
	// change lowers the share.
	BackSteps int
	// CheckInterval is the time between two evaluations without events.
	CheckInterval time.Duration
	// HoldAfter is how long a reason must persist before it is written to the
	// catalogue for operators to see.
	HoldAfter time.Duration
	// RetryAfter is the wait after a write that failed without effect.
	RetryAfter time.Duration
}

// The defaults of Options. The settling times are the times to live of look-up
// answers, 5 s and 20 s, plus 5 s for the propagation of the configuration.
const (
	DefaultMaxAge                         = 6 * time.Second
	DefaultSettle                         = 10 * time.Second
	DefaultSettleSteady                   = 25 * time.Second
	DefaultBreachFor                      = 10 * time.Second
	DefaultBreachRequests                 = 50
	DefaultColdFactor                     = 2.0
	DefaultSplitFactor                    = 1.25
	DefaultMinStep        catalogue.Share = 50
	DefaultBackSteps                      = 4
	DefaultCheckInterval                  = time.Second
	DefaultHoldAfter                      = 10 * time.Second
	DefaultRetryAfter                     = 2 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxAge, DefaultMaxAge)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.SettleSteady, DefaultSettleSteady)
	setDefault(&o.BreachFor, DefaultBreachFor)
	setDefault(&o.BreachRequests, DefaultBreachRequests)
	setDefault(&o.ColdFactor, DefaultColdFactor)
	setDefault(&o.SplitFactor, DefaultSplitFactor)
	setDefault(&o.MinStep, DefaultMinStep)
	setDefault(&o.BackSteps, DefaultBackSteps)
	setDefault(&o.CheckInterval, DefaultCheckInterval)
	setDefault(&o.HoldAfter, DefaultHoldAfter)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
