package tally

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// Message is a message between entry VMs: *Ask or *Sum.
type Message interface {
	// Validate reports an error if the message is out of bounds or
	// inconsistent.
	Validate() error
}

// Body is the wire form of a Message. Exactly one field is set.
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

// Message returns the message of b. It fails unless there is exactly one and it
// is valid.
func (b Body) Message() (Message, error) {
	var m Message
	switch {
	case b.Ask != nil && b.Sum == nil:
		m = b.Ask
	case b.Sum != nil && b.Ask == nil:
		m = b.Sum
	default:
		return nil, fmt.Errorf("%w: body needs exactly one of ask and sum", ErrBounds)
	}
	return m, m.Validate()
}

// Scope selects the entry VMs that the answer to an Ask covers.
type Scope uint8

// The scopes of an Ask.
const (
	ScopeVM     Scope = iota + 1 // the receiver alone
	ScopeGroup                   // the receiver and Ask.Members
	ScopeDomain                  // the receiver's failure domain
	ScopeRegion                  // the receiver's region
)

// Ask requests a Sum.
type Ask struct {
	Runner  fleet.VMID   `json:"runner"` // entry VM that started the round
	Round   uint64       `json:"round"`  // rises with each round of Runner
	Scope   Scope        `json:"scope"`
	Members []fleet.VMID `json:"members"` // only with ScopeGroup
}

// Sum answers an Ask. Its ages are in milliseconds before the Ask's arrival.
type Sum struct {
	Runner        fleet.VMID `json:"runner"`
	Round         uint64     `json:"round"`
	Live          uint32     `json:"live"`       // entry VMs in the Ask's scope, with or without an answer
	CountEndAge   uint32     `json:"age"`        // of the earliest end of a window of Counts
	CountStartAge uint32     `json:"since"`      // of the earliest start of a window of Counts
	LoadEndAge    uint32     `json:"load_age"`   // of the earliest end of a window of Loads
	LoadStartAge  uint32     `json:"load_since"` // of the earliest start of a window of Loads
	Counts        []CountRow `json:"counts"`
	Loads         []LoadRow  `json:"loads"`
}

// Key is a hash that identifies a service, or a flow: a shift and a service.
type Key uint64

// flowKey returns the key of a shift's flow of one service.
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
	// Demand is the mean number of busy slots, in 1/1,000,000: the sum of
	// each entry VM's busy time divided by the length of its own window.
	Demand uint64 `json:"demand"`
	// Positions packs shift.Count.ByPosition: varints, and for a run of zeros
	// a 0 and the number of further zeros. Zeros at the end are left out.
	Positions []byte `json:"positions"`
}

// LoadRow is the load of one service, over a window of LoadWindow. Entry VMs
// without targets of the service report a row too, with capacity 0.
type LoadRow struct {
	Service  Key    `json:"service"`
	VMs      uint32 `json:"vms"`       // entry VMs that it covers
	Capacity uint32 `json:"capacity"`  // slots
	InFlight uint32 `json:"in_flight"` // mean, in 1/1000 requests
	Answers  uint64 `json:"answers"`   // failed ones included
	Failed   uint64 `json:"failed"`
	Warming  bool   `json:"warming"`
	// Latencies packs the number of answers by latency bucket; see
	// latencyBucket.
	Latencies []byte `json:"latencies"`
}

// Bounds of messages.
const (
	MaxCounts  = 256            // flows in one Sum; shifts beyond it are not counted and hold
	MaxLoads   = 64             // services in one Sum
	MaxMembers = 32             // entry VMs of a group
	maxIDLen   = 256            // bytes
	maxVMs     = 1 << 20        // entry VMs in one Sum
	maxAge     = 10 * 60 * 1000 // ms
	maxCount   = 1 << 40        // requests in one window
	maxPacked  = 1024           // bytes
)

// ErrBounds is wrapped by every error of Validate and Body.Message.
var ErrBounds = errors.New("tally: message out of bounds")

func checkRunner(id fleet.VMID) error {
	if id == "" || len(id) > maxIDLen {
		return fmt.Errorf("%w: runner id of %d bytes, must be 1 to %d", ErrBounds, len(id), maxIDLen)
	}
	return nil
}

// Validate reports an error if a is out of bounds.
func (a *Ask) Validate() error {
	if err := checkRunner(a.Runner); err != nil {
		return err
	}
	if a.Scope < ScopeVM || a.Scope > ScopeRegion {
		return fmt.Errorf("%w: unknown scope %d", ErrBounds, a.Scope)
	}
	if len(a.Members) > MaxMembers || (a.Scope != ScopeGroup && len(a.Members) > 0) {
		return fmt.Errorf("%w: ask of scope %d with %d members", ErrBounds, a.Scope, len(a.Members))
	}
	for _, id := range a.Members {
		if id == "" || len(id) > maxIDLen {
			return fmt.Errorf("%w: member id of %d bytes, must be 1 to %d", ErrBounds, len(id), maxIDLen)
		}
	}
	return nil
}

// Validate reports an error if s is out of bounds or inconsistent.
func (s *Sum) Validate() error {
	if err := checkRunner(s.Runner); err != nil {
		return err
	}
	if s.Live > maxVMs {
		return fmt.Errorf("%w: sum of %d entry VMs, more than %d", ErrBounds, s.Live, maxVMs)
	}
	if s.CountEndAge > s.CountStartAge || s.CountStartAge > maxAge || s.LoadEndAge > s.LoadStartAge || s.LoadStartAge > maxAge {
		return fmt.Errorf("%w: window ages %d to %d ms of counts, %d to %d ms of loads", ErrBounds,
			s.CountStartAge, s.CountEndAge, s.LoadStartAge, s.LoadEndAge)
	}
	if len(s.Counts) > MaxCounts || len(s.Loads) > MaxLoads {
		return fmt.Errorf("%w: sum of %d counts and %d loads, more than %d or %d", ErrBounds,
			len(s.Counts), len(s.Loads), MaxCounts, MaxLoads)
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
		return fmt.Errorf("%w: count covers %d of %d entry VMs", ErrBounds, r.VMs, live)
	}
	if r.Total > maxCount || r.Moved > r.Total || r.Demand > maxCount {
		return fmt.Errorf("%w: count of %d moved of %d requests, demand %d", ErrBounds, r.Moved, r.Total, r.Demand)
	}
	if len(r.Positions) > maxPacked {
		return fmt.Errorf("%w: %d bytes of positions", ErrBounds, len(r.Positions))
	}
	var positions [shift.Positions]uint64
	sum, err := addUnpacked(r.Positions, positions[:])
	if err == nil && sum != r.Total {
		err = fmt.Errorf("%w: positions hold %d of %d requests", ErrBounds, sum, r.Total)
	}
	return err
}

func (r *LoadRow) validate(live uint32) error {
	if r.VMs == 0 || r.VMs > live {
		return fmt.Errorf("%w: load covers %d of %d entry VMs", ErrBounds, r.VMs, live)
	}
	if r.Answers > maxCount || r.Failed > r.Answers {
		return fmt.Errorf("%w: load of %d failed of %d answers", ErrBounds, r.Failed, r.Answers)
	}
	if len(r.Latencies) > maxPacked {
		return fmt.Errorf("%w: %d bytes of latencies", ErrBounds, len(r.Latencies))
	}
	var buckets [latencyBuckets]uint64
	sum, err := addUnpacked(r.Latencies, buckets[:])
	if err == nil && sum != r.Answers {
		err = fmt.Errorf("%w: latencies hold %d of %d answers", ErrBounds, sum, r.Answers)
	}
	return err
}
