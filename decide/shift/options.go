package shift

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
)

// Options tune planning; limits that operators set are in catalogue.Limits.
// Zero values take the defaults.
type Options struct {
	// MaxAge is the age beyond which a figure is no evidence.
	MaxAge time.Duration
	// Settle is how long a step of a running shift takes to be in effect
	// everywhere: the spread of the configuration, and the time that callers
	// keep look-up answers meanwhile. Figures prove a step only if their
	// window began that long after it.
	Settle time.Duration
	// SettleSteady is the same for answers that callers got while the shift
	// was not running, which they keep for longer.
	SettleSteady time.Duration
	// BreachFor is how long errors must stay over their bound, over fresh
	// figures, before the shift rolls back.
	BreachFor time.Duration
	// BreachRequests is the least number of requests in a window for its
	// error share to mean anything.
	BreachRequests uint64
	// ColdFactor is how many times its warm load a client may cost a receiver
	// whose caches don't know it yet.
	ColdFactor float64
	// SplitFactor is how many times its even part one receiver may get of a
	// shift that moves to every other region.
	SplitFactor float64
	// MinStep is the least advance worth a write; less fits, and the shift
	// holds.
	MinStep catalogue.Share
	// BackSteps is the most steps that a shift moves back at once.
	BackSteps int
	// CheckInterval is the time between two evaluations without events.
	CheckInterval time.Duration
	// HoldAfter is how long a reason must persist before it is written to the
	// catalogue for operators to see.
	HoldAfter time.Duration
	// RetryAfter is the wait after a write that failed without effect.
	RetryAfter time.Duration
}

// The defaults of Options. The settling times are 5 s and 20 s, the times to
// live of look-up answers, and 5 s for the configuration's spread.
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
