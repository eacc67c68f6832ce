package config

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Message is a message between daemons: *Digest, *UpdateRequest, *Delta,
// *Snapshot or *Push.
type Message interface {
	check() error
}

// Body is the wire form of a message. Exactly one field is set.
type Body struct {
	Digest        *Digest        `json:"d,omitempty"`
	UpdateRequest *UpdateRequest `json:"w,omitempty"`
	Delta         *Delta         `json:"c,omitempty"`
	Snapshot      *Snapshot      `json:"s,omitempty"`
	Push          *Push          `json:"p,omitempty"`
}

// NewBody returns the wire form of m.
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

// Message returns the message in b, or an error if b does not hold exactly one.
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
		return nil, fmt.Errorf("config: body holds %d messages, want 1", len(found))
	}
	return found[0], nil
}

// Age is the time since an event in milliseconds, or Unknown if the event has
// never occurred.
type Age int64

// Unknown is the Age of an event that has never occurred.
const Unknown Age = -1

// Duration returns the age as a duration.
func (a Age) Duration() time.Duration { return time.Duration(a) * time.Millisecond }

func (a Age) check() error {
	if a < Unknown || a > Age(maxAge/time.Millisecond) {
		return fmt.Errorf("config: age %d ms is not between %d and %d", int64(a), int64(Unknown), int64(maxAge/time.Millisecond))
	}
	return nil
}

// Digest states what is in force at the sender or, for a digest sent down a tree,
// at the root of the tree.
type Digest struct {
	Format   uint8  `json:"f"`
	Revision uint64 `json:"r"` // 0: nothing yet
	Hash     uint64 `json:"h"`
	// Age is the age of the last platform read that confirmed Revision.
	Age Age `json:"a"`
	// ReadAge is the age of the sender's (or Root's) own last successful
	// platform read.
	ReadAge Age `json:"o"`
	// Root is the reader down whose tree the digest is sent; empty for other
	// digests.
	Root fleet.VMID `json:"t,omitempty"`
	// Seq increases with each digest of Root. It stops forwarding loops between
	// members whose views of the membership differ.
	Seq uint64 `json:"q,omitempty"`
	// Ask requests a Digest in reply.
	Ask bool `json:"k,omitempty"`
}

// UpdateRequest requests all changes after revision Have; 0 requests a Snapshot.
type UpdateRequest struct {
	Format uint8  `json:"f"`
	Have   uint64 `json:"r"`
}

// Delta holds the changes after revision From, up to revision To. It can be
// applied to every revision from From up to To, because it holds whole entries.
type Delta struct {
	Format          uint8               `json:"f"`
	From            uint64              `json:"b"`
	To              uint64              `json:"r"`
	Hash            uint64              `json:"h"` // of the complete content at To
	Age             Age                 `json:"a"`
	Services        []catalogue.Service `json:"s,omitempty"`
	Shifts          []catalogue.Shift   `json:"e,omitempty"`
	RemovedServices []fleet.ServiceName `json:"x,omitempty"`
	RemovedShifts   []string            `json:"y,omitempty"`
}

// Snapshot is one part of a complete catalogue.
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

// Push is a Delta sent down the tree of Root.
type Push struct {
	Root  fleet.VMID `json:"t"`
	Delta Delta      `json:"d"`
}

func checkHeader(format uint8, revision uint64, age Age) error {
	if format != Format {
		return fmt.Errorf("%w: %d, want %d", errFormat, format, Format)
	}
	if revision > MaxRevision {
		return fmt.Errorf("config: revision %d exceeds %d", revision, uint64(MaxRevision))
	}
	return age.check()
}

func checkID(id string) error {
	if id == "" || len(id) > MaxIDLen {
		return fmt.Errorf("config: id of %d bytes, want 1 to %d", len(id), MaxIDLen)
	}
	return nil
}

func (d *Digest) check() error {
	if err := checkHeader(d.Format, d.Revision, d.Age); err != nil {
		return err
	}
	if d.Revision == 0 && d.Hash != 0 {
		return fmt.Errorf("config: digest has hash %016x but no revision", d.Hash)
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
		return fmt.Errorf("config: delta from revision %d does not lead to a higher one: %d", d.From, d.To)
	}
	if n := d.entryCount(); n > MaxDeltaEntries {
		return fmt.Errorf("config: delta of %d entries exceeds %d", n, MaxDeltaEntries)
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
		return fmt.Errorf("config: invalid snapshot part %d of %d", s.Part, s.Parts)
	}
	if n := len(s.Services) + len(s.Shifts); n > MaxPartEntries {
		return fmt.Errorf("config: snapshot part of %d entries exceeds %d", n, MaxPartEntries)
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
