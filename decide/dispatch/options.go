package dispatch

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
)

// Options are the settings of a State. They don't change while it runs.
type Options struct {
	VM     fleet.VMID
	Domain fleet.Domain
	Region fleet.Region
	// Seed starts the generator behind every random choice.
	Seed uint64
	// Policy names the way of choosing a target: "expected-wait" (also when
	// empty), or for comparison "round-robin", "random", "least-in-flight" or
	// "two-choices".
	Policy string
	Limits Limits
	// PanicOnViolation makes a broken invariant a panic; for tests.
	PanicOnViolation bool
	// Audit recounts all state after each step; for tests, as it is slow.
	Audit bool
	// PlainBalancer sends each request to the chosen target at once, beyond its
	// slots, with no queue and no forwards. It is there to measure against a
	// plain balancer and is never set in production.
	PlainBalancer bool
}

// Limits bound what a State holds and how long. A zero field takes the
// documented default; a negative one means none at all where that makes sense.
type Limits struct {
	// MaxAttempts bounds the sends and forwards of one request; default 4.
	MaxAttempts int
	// QueueItems bounds waiting requests of all services; default 1024.
	QueueItems int
	// QueueBytes bounds their bodies, in bytes; default 64 MiB.
	QueueBytes int64
	// DeferrableShare is the part of the queue bounds that deferrable work
	// may fill; default 0.75.
	DeferrableShare float64
	// InteractiveWait bounds the expected wait of interactive work in the
	// queue; default 250 ms, and three times the service's usual latency if
	// that is longer. Deferrable work may wait until its deadline.
	InteractiveWait time.Duration
	// RepeatShare is the part of the traffic that may be sent again, as a
	// retry or a hedge; default 0.1, none when negative.
	RepeatShare float64
	// RepeatBurst is how many repeats are saved up; default 20.
	RepeatBurst int
	// MinHedgeDelay is the least delay before a hedge; default 5 ms. Negative
	// turns hedges off.
	MinHedgeDelay time.Duration
	// CancelGrace is how long a cancelled attempt counts as in flight when
	// the transport doesn't report its end; default 500 ms.
	CancelGrace time.Duration
	// MaxLoadAge is the age at which a target's load report counts for
	// nothing; default 500 ms.
	MaxLoadAge time.Duration
	// MaxRemoteLoadAge is the same for reports of other entry VMs; default 3 s.
	// Negative turns forwarding off.
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

// WithDefaults returns l with every zero field at its default.
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

// Validate reports settings that New would refuse.
func (o Options) Validate() error {
	if _, err := target.ParsePolicy(o.Policy); err != nil {
		return fmt.Errorf("dispatch: %w", err)
	}
	return nil
}
