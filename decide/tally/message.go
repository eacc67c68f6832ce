package tally

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// Message is what entry VMs send each other: *Ask or *Sum.
type Message interface {
	// Validate refuses messages beyond the documented bounds.
	Validate() error
}

// Body carries exactly one message; it is the form on the wire.
type Body struct {
	Ask *Ask `json:"ask,omitempty"`
	Sum *Sum `json:"sum,omitempty"`
}

// NewBody wraps m for the wire.
func NewBody(m Message) Body {
	switch m := m.(type) {
	case *Ask:
		return Body{Ask: m}
	case *Sum:
		return Body{Sum: m}
	}
	return Body{}
}

// Message returns the message of b, or an error unless there is exactly one
// within its bounds.
func (b Body) Message() (Message, error) {
	var m Message
	switch {
	case b.Ask != nil && b.Sum == nil:
		m = b.Ask
	case b.Sum != nil && b.Ask == nil:
		m = b.Sum
	default:
		return nil, fmt.Errorf("%w: not one message", ErrBounds)
	}
	return m, m.Validate()
}

// Scope says for whom an Ask wants the answer.
type Scope uint8

// The scopes.
const (
	ScopeVM     Scope = iota + 1 // the receiver alone
	ScopeGroup                   // the receiver and Ask.Members
	ScopeDomain                  // the receiver's failure domain
	ScopeRegion                  // the receiver's region
)

// Ask asks for a Sum.
type Ask struct {
	Runner  fleet.VMID   `json:"runner"` // who started the round
	Round   uint64       `json:"round"`  // rises with each round of Runner
	Scope   Scope        `json:"scope"`
	Members []fleet.VMID `json:"members"` // only with ScopeGroup
}

// Sum answers an Ask. Its ages are in milliseconds, as of the Ask's arrival.
type Sum struct {
	Runner        fleet.VMID `json:"runner"`
	Round         uint64     `json:"round"`
	Live          uint32     `json:"live"`       // entry VMs that the Ask was for, with or without an answer
	CountEndAge   uint32     `json:"age"`        // of the oldest end of a counted window
	CountStartAge uint32     `json:"since"`      // of the oldest begin of one
	LoadEndAge    uint32     `json:"load_age"`   // of the oldest end of a measured window
	LoadStartAge  uint32     `json:"load_since"` // of the oldest begin of one
	Counts        []CountRow `json:"counts"`
	Loads         []LoadRow  `json:"loads"`
}

// Key names a flow, which is a shift and a service, or a service.
type Key uint64

// flowKey returns the key of what a shift moves of one service.
func flowKey(shiftID string, s fleet.ServiceName) Key {
	return Key(xxhash.Sum64String("flow:" + shiftID + "\x00" + string(s)))
}

// serviceKey returns the key of a service.
func serviceKey(s fleet.ServiceName) Key { return Key(xxhash.Sum64String("service:" + string(s))) }

// CountRow is the count of one flow, over a window of shift.CountWindow.
type CountRow struct {
	Flow  Key    `json:"flow"`
	VMs   uint32 `json:"vms"` // entry VMs that it covers
	Total uint64 `json:"total"`
	Moved uint64 `json:"moved"`
	// Demand is the slots kept busy on average, in 1/1,000,000: each entry
	// VM's busy time over the length of its own window, summed.
	Demand uint64 `json:"demand"`
	// Positions packs shift.Count.ByPosition: varints, and for a run of zeros
	// a 0 and the number of further zeros; what is left out at the end is 0.
	Positions []byte `json:"positions"`
}

// LoadRow is the load of one service, over a window of LoadWindow. Entry VMs
// without targets of the service report it as well, with no capacity.
type LoadRow struct {
	Service  Key    `json:"service"`
	VMs      uint32 `json:"vms"`       // entry VMs that it covers
	Capacity uint32 `json:"capacity"`  // slots
	InFlight uint32 `json:"in_flight"` // mean, in 1/1000 requests
	Answers  uint64 `json:"answers"`   // failed ones included
	Failed   uint64 `json:"failed"`
	Warming  bool   `json:"warming"`
	// Latencies packs the number of answers by latency bucket; see bucketOf.
	Latencies []byte `json:"latencies"`
}

// Bounds of messages.
const (
	MaxCounts  = 256            // flows in one Sum; shifts beyond are not counted, and hold
	MaxLoads   = 64             // services in one Sum
	MaxMembers = 32             // entry VMs of a group
	maxIDLen   = 256            // bytes
	maxVMs     = 1 << 20        // entry VMs in one Sum
	maxAge     = 10 * 60 * 1000 // ms
	maxCount   = 1 << 40        // requests in one window
	maxPacked  = 1024           // bytes
)

// ErrBounds is the cause of every refusal by Validate.
var ErrBounds = errors.New("tally: message out of bounds")

func checkRunner(id fleet.VMID) error {
	if id == "" || len(id) > maxIDLen {
		return fmt.Errorf("%w: runner of %d bytes", ErrBounds, len(id))
	}
	return nil
}

// Validate refuses asks beyond the bounds.
func (a *Ask) Validate() error {
	if err := checkRunner(a.Runner); err != nil {
		return err
	}
	if a.Scope < ScopeVM || a.Scope > ScopeRegion {
		return fmt.Errorf("%w: scope %d", ErrBounds, a.Scope)
	}
	if len(a.Members) > MaxMembers || (a.Scope != ScopeGroup && len(a.Members) > 0) {
		return fmt.Errorf("%w: %d members", ErrBounds, len(a.Members))
	}
	for _, id := range a.Members {
		if id == "" || len(id) > maxIDLen {
			return fmt.Errorf("%w: member of %d bytes", ErrBounds, len(id))
		}
	}
	return nil
}

// Validate refuses sums beyond the bounds, and those that don't agree with
// themselves.
func (s *Sum) Validate() error {
	if err := checkRunner(s.Runner); err != nil {
		return err
	}
	if s.Live > maxVMs {
		return fmt.Errorf("%w: %d entry VMs", ErrBounds, s.Live)
	}
	if s.CountEndAge > s.CountStartAge || s.CountStartAge > maxAge || s.LoadEndAge > s.LoadStartAge || s.LoadStartAge > maxAge {
		return fmt.Errorf("%w: window", ErrBounds)
	}
	if len(s.Counts) > MaxCounts || len(s.Loads) > MaxLoads {
		return fmt.Errorf("%w: %d counts, %d loads", ErrBounds, len(s.Counts), len(s.Loads))
	}
	for i := range s.Counts {
		if err := s.Counts[i].validate(s.Live); err != nil {
			return err
		}
	}
	for i := range s.Loads {
		if err := s.Loads[i].validate(s.Live); err != nil {
			return err
		}
	}
	return nil
}

func (r *CountRow) validate(live uint32) error {
	if r.VMs == 0 || r.VMs > live {
		return fmt.Errorf("%w: count of %d of %d entry VMs", ErrBounds, r.VMs, live)
	}
	if r.Total > maxCount || r.Moved > r.Total || r.Demand > maxCount {
		return fmt.Errorf("%w: %d of %d requests, demand %d", ErrBounds, r.Moved, r.Total, r.Demand)
	}
	if len(r.Positions) > maxPacked {
		return fmt.Errorf("%w: %d bytes of positions", ErrBounds, len(r.Positions))
	}
	var positions [shift.Positions]uint64
	sum, err := addUnpacked(r.Positions, positions[:])
	if err == nil && sum != r.Total {
		err = fmt.Errorf("%w: positions sum up to %d of %d", ErrBounds, sum, r.Total)
	}
	return err
}

func (r *LoadRow) validate(live uint32) error {
	if r.VMs == 0 || r.VMs > live {
		return fmt.Errorf("%w: load of %d of %d entry VMs", ErrBounds, r.VMs, live)
	}
	if r.Answers > maxCount || r.Failed > r.Answers {
		return fmt.Errorf("%w: %d of %d answers", ErrBounds, r.Failed, r.Answers)
	}
	if len(r.Latencies) > maxPacked {
		return fmt.Errorf("%w: %d bytes of latencies", ErrBounds, len(r.Latencies))
	}
	var buckets [latencyBuckets]uint64
	sum, err := addUnpacked(r.Latencies, buckets[:])
	if err == nil && sum != r.Answers {
		err = fmt.Errorf("%w: latencies of %d of %d answers", ErrBounds, sum, r.Answers)
	}
	return err
}
