// Package catalogue defines the configuration that operators set: the services,
// and the traffic shifts with their owners, classes and limits.
//
// A Catalogue is immutable once published. Revisions are totally ordered: the
// platform's compare-and-swap assigns each revision once, and no daemon applies
// a lower revision than one that it has seen.
package catalogue

import (
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Catalogue is the whole configuration at one revision.
type Catalogue struct {
	Revision uint64    `json:"revision" yaml:"revision"`
	Services []Service `json:"services" yaml:"services"`
	Shifts   []Shift   `json:"shifts" yaml:"shifts"`
}

// Priority orders services under overload.
type Priority string

const (
	// Interactive requests have a person waiting, such as a table look-up.
	Interactive Priority = "interactive"
	// Deferrable requests may wait in a queue, such as a permit submission.
	Deferrable Priority = "deferrable"
)

// Service defines how requests of one service are treated.
type Service struct {
	Name fleet.ServiceName `json:"name" yaml:"name"`
	// Idempotent is true if running a request twice does no harm. The safe
	// default is false.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Priority is the service's priority under overload; empty means
	// deferrable.
	Priority Priority `json:"priority" yaml:"priority"`
	// Timeout bounds a request without a deadline of its own. Zero means 10 s.
	Timeout Duration `json:"timeout" yaml:"timeout"`
	// TokenOptional lets callers of a non-idempotent service omit the one-time
	// token; requests that they send again are then not recognised.
	TokenOptional bool `json:"token_optional" yaml:"token_optional"`
	// Revision is the catalogue revision that last changed this service.
	Revision uint64 `json:"revision" yaml:"revision"`
}

// Class is the kind of traffic shift; it determines who must approve it.
type Class string

const (
	// Rehearsal shifts are planned and need approval by a second operator.
	Rehearsal Class = "rehearsal"
	// Maintenance shifts are planned drains and need approval by a second operator.
	Maintenance Class = "maintenance"
	// Emergency shifts may be approved by their author; the audit log records it.
	Emergency Class = "emergency"
)

// NeedsSecondOperator reports whether an operator other than the author must
// approve.
func (c Class) NeedsSecondOperator() bool { return c != Emergency }

// ShiftState is the life-cycle state of a traffic shift.
type ShiftState string

// The states of a traffic shift. Without a pause or rollback it passes from
// draft through approved and running to done.
const (
	Draft      ShiftState = "draft"
	Approved   ShiftState = "approved"
	Running    ShiftState = "running"
	Paused     ShiftState = "paused"
	Done       ShiftState = "done"
	RolledBack ShiftState = "rolled-back"
)

// Moves reports whether traffic is moved in this state: a paused shift keeps
// its share, and a done shift keeps it until it is removed or rolled back.
func (s ShiftState) Moves() bool { return s == Running || s == Paused || s == Done }

// ShareUnit is the share of all traffic: 10,000 units, so one unit is 0.01%.
const ShareUnit = 10000

// Share is a part of the traffic, in units of 1/ShareUnit.
type Share uint16

// Shift is one catalogue entry: traffic of Service that goes to region From
// is moved to region To, step by step.
type Shift struct {
	ID      string            `json:"id" yaml:"id"`
	Owner   string            `json:"owner" yaml:"owner"`   // team responsible for the shift
	Author  string            `json:"author" yaml:"author"` // operator who last changed it
	Class   Class             `json:"class" yaml:"class"`
	Service fleet.ServiceName `json:"service" yaml:"service"` // empty: every service
	From    fleet.Region      `json:"from" yaml:"from"`
	To      fleet.Region      `json:"to" yaml:"to"` // empty: every other region, by headroom
	Limits  Limits            `json:"limits" yaml:"limits"`

	State      ShiftState `json:"state" yaml:"state"`
	ApprovedBy string     `json:"approved_by" yaml:"approved_by"`
	Share      Share      `json:"share" yaml:"share"`           // share moved now, at most Limits.MaxShare
	SteppedAt  int64      `json:"stepped_at" yaml:"stepped_at"` // Unix ns of the last step
	Hold       string     `json:"hold,omitempty" yaml:"hold"`   // why the shift holds; empty while it advances
	Revision   uint64     `json:"revision" yaml:"revision"`     // catalogue revision that last changed this entry
	Generation uint64     `json:"generation" yaml:"generation"` // rises with every draft that an operator writes
}

// Limits bound a shift. A zero limit takes its default.
type Limits struct {
	// MaxShare is the cap: the largest share of From's traffic moved, in
	// 1/10,000. It has no default and must be set.
	MaxShare Share `json:"max_share" yaml:"max_share"`
	// Step is the largest increase per step; default 500 (5%).
	Step Share `json:"step" yaml:"step"`
	// Interval is the least time between two steps; default 30s.
	Interval Duration `json:"interval" yaml:"interval"`
	// MinHeadroom is the share of the receiver's capacity that must stay
	// free after a step; default 2000 (20%).
	MinHeadroom Share `json:"min_headroom" yaml:"min_headroom"`
	// MaxErrorShare is the share of failed answers at the receiver above
	// which the shift rolls back; default 100 (1%).
	MaxErrorShare Share `json:"max_error_share" yaml:"max_error_share"`
	// MaxP99 is the receiver's p99 latency above which the shift holds;
	// default 2s.
	MaxP99 Duration `json:"max_p99" yaml:"max_p99"`
	// Window is the calendar time in which the shift may advance.
	Window Window `json:"window" yaml:"window"`
}

// Window is a span of calendar time in UTC; a zero bound is open.
type Window struct {
	Start time.Time `json:"start" yaml:"start"`
	End   time.Time `json:"end" yaml:"end"`
}

// Contains reports whether the instant t lies in w.
func (w Window) Contains(t time.Time) bool {
	if !w.Start.IsZero() && t.Before(w.Start) {
		return false
	}
	return w.End.IsZero() || t.Before(w.End)
}

// The defaults of limits and services.
const (
	DefaultStep          Share = 500
	DefaultInterval            = 30 * time.Second
	DefaultMinHeadroom   Share = 2000
	DefaultMaxErrorShare Share = 100
	DefaultMaxP99              = 2 * time.Second
	DefaultTimeout             = 10 * time.Second
)

// WithDefaults returns l with every unset limit at its default.
func (l Limits) WithDefaults() Limits {
	if l.Step == 0 {
		l.Step = DefaultStep
	}
	if l.Interval == 0 {
		l.Interval = Duration(DefaultInterval)
	}
	if l.MinHeadroom == 0 {
		l.MinHeadroom = DefaultMinHeadroom
	}
	if l.MaxErrorShare == 0 {
		l.MaxErrorShare = DefaultMaxErrorShare
	}
	if l.MaxP99 == 0 {
		l.MaxP99 = Duration(DefaultMaxP99)
	}
	return l
}

// Service returns the service of the given name.
func (c *Catalogue) Service(n fleet.ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == n {
			return s, true
		}
	}
	return Service{}, false
}

// Shift returns the entry of the given id.
func (c *Catalogue) Shift(id string) (Shift, bool) {
	for _, s := range c.Shifts {
		if s.ID == id {
			return s, true
		}
	}
	return Shift{}, false
}
