package dispatch

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// Options are the settings of a State. They are fixed while it runs.
type Options struct {
	VM     fleet.VMID
	Domain fleet.Domain
	Region fleet.Region
	// Seed initialises the random number generator.
	Seed uint64
	// Policy names the policy that chooses a target: "expected-wait" (also when
	// empty), or for comparison "round-robin", "random", "least-in-flight" or
	// "two-choices".
	Policy string
	Limits Limits
	// PanicOnViolation panics when an invariant is violated; for tests.
	PanicOnViolation bool
	// Audit recounts the whole state after each step. It is slow and meant for
	// tests.
	Audit bool
	// PlainBalancer sends each request to the chosen target at once, whether a
	// slot is free or not, without a queue and without forwards. It is a
	// baseline for comparisons and is never set in production.
	PlainBalancer bool
}

// Limits bound what a State holds and for how long. A zero field takes the
// documented default; a negative one turns the feature off where that is
// stated.
type Limits struct {
	// MaxAttempts bounds the sends and forwards of one request; default 4.
	MaxAttempts int
	// QueueItems bounds the number of queued requests of all services; default
	// 1024.
	QueueItems int
	// QueueBytes bounds the size of their bodies in bytes; default 64 MiB.
	QueueBytes int64
	// DeferrableShare is the part of the queue bounds that deferrable requests
	// may use; default 0.75.
	DeferrableShare float64
	// InteractiveWait bounds the expected wait of interactive requests in the
	// queue; default 250 ms, and three times the mean latency of the service if
	// that is longer. Deferrable requests may wait until their deadline.
	InteractiveWait time.Duration
	// RepeatShare is the part of the traffic that may be sent again, as a retry
	// or a hedge; default 0.1, none when negative.
	RepeatShare float64
	// RepeatBurst is the largest number of repeats that can be saved up;
	// default 20.
	RepeatBurst int
	// MinHedgeDelay is the shortest delay before a hedge; default 5 ms. A
	// negative value turns hedges off.
	MinHedgeDelay time.Duration
	// CancelGrace is how long a cancelled attempt counts as in flight when the
	// transport doesn't report its end; default 500 ms.
	CancelGrace time.Duration
	// MaxLoadAge is the age at which a target's load report no longer counts;
	// default 500 ms.
	MaxLoadAge time.Duration
	// MaxRemoteLoadAge is the same for the load reports of other entry VMs;
	// default 3 s. A negative value turns forwarding off.
	MaxRemoteLoadAge time.Duration
}

// The defaults of Limits.
const (
	defaultMaxAttempts      = 4
	defaultQueueItems       = 1024
	defaultQueueBytes       = 64 << 20
	defaultDeferrableShare  = 0.75
	defaultInteractiveWait  = 250 * time.Millisecond
	defaultRepeatShare      = 0.1
	defaultRepeatBurst      = 20
	defaultMinHedgeDelay    = 5 * time.Millisecond
	defaultCancelGrace      = 500 * time.Millisecond
	defaultMaxLoadAge       = 500 * time.Millisecond
	defaultMaxRemoteLoadAge = 3 * time.Second
)

// WithDefaults returns l with the default in each zero field.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.MaxAttempts, defaultMaxAttempts)
	setDefault(&l.QueueItems, defaultQueueItems)
	setDefault(&l.QueueBytes, defaultQueueBytes)
	setDefault(&l.DeferrableShare, defaultDeferrableShare)
	setDefault(&l.InteractiveWait, defaultInteractiveWait)
	setDefault(&l.RepeatShare, defaultRepeatShare)
	setDefault(&l.RepeatBurst, defaultRepeatBurst)
	setDefault(&l.MinHedgeDelay, defaultMinHedgeDelay)
	setDefault(&l.CancelGrace, defaultCancelGrace)
	setDefault(&l.MaxLoadAge, defaultMaxLoadAge)
	setDefault(&l.MaxRemoteLoadAge, defaultMaxRemoteLoadAge)
	return l
}

func setDefault[T int | int64 | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Validate reports the settings for which New would panic.
func (o Options) Validate() error {
	if _, err := target.ParsePolicy(o.Policy); err != nil {
		return fmt.Errorf("dispatch: %w", err)
	}
	return nil
}
