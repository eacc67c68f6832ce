package config

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Message is what daemons send each other: *Digest, *Want, *Delta, *Snapshot
// or *Push.
type Message interface {
	check() error
}

// Body carries exactly one message; it is the form on the wire.
type Body struct {
	Digest        *Digest        `json:"d,omitempty"`
	UpdateRequest *UpdateRequest `json:"w,omitempty"`
	Delta         *Delta         `json:"c,omitempty"`
	Snapshot      *Snapshot      `json:"s,omitempty"`
	Push          *Push          `json:"p,omitempty"`
}

// NewBody wraps m for the wire.
func NewBody(m Message) Body {
	switch m := m.(type) {
	case *Digest:
		return Body{Digest: m}
	case *UpdateRequest:
		return Body{UpdateRequest: m}
	case *Delta:
		return Body{Delta: m}
	case *Snapshot:
		return Body{Snapshot: m}
	case *Push:
		return Body{Push: m}
	}
	return Body{}
}

// Message returns the message of b, or an error unless there is exactly one.
func (b Body) Message() (Message, error) {
	var found []Message
	if b.Digest != nil {
		found = append(found, b.Digest)
	}
	if b.UpdateRequest != nil {
		found = append(found, b.UpdateRequest)
	}
	if b.Delta != nil {
		found = append(found, b.Delta)
	}
	if b.Snapshot != nil {
		found = append(found, b.Snapshot)
	}
	if b.Push != nil {
		found = append(found, b.Push)
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("config: body holds %d messages", len(found))
	}
	return found[0], nil
}

// Age is how long ago something was known, in milliseconds; Unknown if never.
type Age int64

// Unknown is the age of what never happened.
const Unknown Age = -1

// Duration returns the age as a duration.
func (a Age) Duration() time.Duration { return time.Duration(a) * time.Millisecond }

func (a Age) check() error {
	if a < Unknown || a > Age(maxAge/time.Millisecond) {
		return fmt.Errorf("config: age %d out of bounds", int64(a))
	}
	return nil
}

// Digest states what the sender, or the root of the tree it came down, has in
// force.
type Digest struct {
	Format   uint8  `json:"f"`
	Revision uint64 `json:"r"` // 0: nothing yet
	Hash     uint64 `json:"h"`
	// Age is that of the last platform read that confirmed Revision.
	Age Age `json:"a"`
	// ReadAge is that of the last successful platform read that the sender
	// (or Root) made itself.
	ReadAge Age `json:"o"`
	// Root is set on digests that go down the tree of a reader.
	Root fleet.VMID `json:"t,omitempty"`
	// Seq rises with each digest of Root; it ends loops between members whose
	// views differ.
	Seq uint64 `json:"q,omitempty"`
	// Ask requests a digest in answer.
	Ask bool `json:"k,omitempty"`
}

// UpdateRequest asks for everything newer than Have; 0 asks for a Snapshot.
type UpdateRequest struct {
	Format uint8  `json:"f"`
	Have   uint64 `json:"r"`
}

// Delta holds what changed after revision From up to revision To. It applies
// to every revision from From up to To, since its entries are whole.
type Delta struct {
	Format          uint8               `json:"f"`
	From            uint64              `json:"b"`
	To              uint64              `json:"r"`
	Hash            uint64              `json:"h"` // of the whole content at To
	Age             Age                 `json:"a"`
	Services        []catalogue.Service `json:"s,omitempty"`
	Shifts          []catalogue.Shift   `json:"e,omitempty"`
	RemovedServices []fleet.ServiceName `json:"x,omitempty"`
	RemovedShifts   []string            `json:"y,omitempty"`
}

// Snapshot is one part of the whole catalogue.
type Snapshot struct {
	Format   uint8               `json:"f"`
	Revision uint64              `json:"r"`
	Hash     uint64              `json:"h"`
	Age      Age                 `json:"a"`
	Part     int                 `json:"p"` // from 0
	Parts    int                 `json:"n"`
	Services []catalogue.Service `json:"s,omitempty"`
	Shifts   []catalogue.Shift   `json:"e,omitempty"`
}

// Push is a Delta that goes down the tree of Root.
type Push struct {
	Root  fleet.VMID `json:"t"`
	Delta Delta      `json:"d"`
}

func checkHeader(format uint8, revision uint64, age Age) error {
	if format != Format {
		return fmt.Errorf("%w: %d", errFormat, format)
	}
	if revision > MaxRevision {
		return fmt.Errorf("config: revision %d out of bounds", revision)
	}
	return age.check()
}

func checkID(id string) error {
	if id == "" || len(id) > MaxIDLen {
		return fmt.Errorf("config: id of %d bytes", len(id))
	}
	return nil
}

func (d *Digest) check() error {
	if err := checkHeader(d.Format, d.Revision, d.Age); err != nil {
		return err
	}
	if d.Revision == 0 && d.Hash != 0 {
		return fmt.Errorf("config: hash without revision")
	}
	if len(d.Root) > MaxIDLen {
		return checkID(string(d.Root))
	}
	return d.ReadAge.check()
}

func (w *UpdateRequest) check() error {
	return checkHeader(w.Format, w.Have, Unknown)
}

func (d *Delta) check() error {
	if err := checkHeader(d.Format, d.To, d.Age); err != nil {
		return err
	}
	if d.From >= d.To {
		return fmt.Errorf("config: delta from %d to %d", d.From, d.To)
	}
	if n := d.entryCount(); n > MaxDeltaEntries {
		return fmt.Errorf("config: delta of %d entries", n)
	}
	for _, n := range d.RemovedServices {
		if err := checkID(string(n)); err != nil {
			return err
		}
	}
	for _, id := range d.RemovedShifts {
		if err := checkID(id); err != nil {
			return err
		}
	}
	return checkEntries(d.Services, d.Shifts)
}

func (d *Delta) entryCount() int {
	return len(d.Services) + len(d.Shifts) + len(d.RemovedServices) + len(d.RemovedShifts)
}

func (s *Snapshot) check() error {
	if err := checkHeader(s.Format, s.Revision, s.Age); err != nil {
		return err
	}
	if s.Revision == 0 {
		return fmt.Errorf("config: snapshot of revision 0")
	}
	if s.Parts < 1 || s.Parts > MaxParts || s.Part < 0 || s.Part >= s.Parts {
		return fmt.Errorf("config: snapshot part %d of %d", s.Part, s.Parts)
	}
	if n := len(s.Services) + len(s.Shifts); n > MaxPartEntries {
		return fmt.Errorf("config: snapshot part of %d entries", n)
	}
	return checkEntries(s.Services, s.Shifts)
}

func (p *Push) check() error {
	if err := checkID(string(p.Root)); err != nil {
		return err
	}
	return p.Delta.check()
}

func checkEntries(services []catalogue.Service, shifts []catalogue.Shift) error {
	for i := range services {
		if err := checkID(string(services[i].Name)); err != nil {
			return err
		}
	}
	for i := range shifts {
		if err := checkID(shifts[i].ID); err != nil {
			return err
		}
	}
	return nil
}
