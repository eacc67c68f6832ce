package machine

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Message is what entry VMs of a domain send each other: *Digest, *Want,
// *Delta, *Part or *Push.
type Message interface {
	// Validate refuses messages beyond the documented bounds.
	Validate() error
}

// Body carries exactly one message; it is the form on the wire.
type Body struct {
	Digest *Digest `json:"digest,omitempty"`
	Want   *Want   `json:"want,omitempty"`
	Delta  *Delta  `json:"delta,omitempty"`
	Part   *Part   `json:"part,omitempty"`
	Push   *Push   `json:"push,omitempty"`
}

// NewBody wraps m for the wire.
func NewBody(m Message) Body {
	switch m := m.(type) {
	case *Digest:
		return Body{Digest: m}
	case *Want:
		return Body{Want: m}
	case *Delta:
		return Body{Delta: m}
	case *Part:
		return Body{Part: m}
	case *Push:
		return Body{Push: m}
	}
	return Body{}
}

// Message returns the message of b, or an error unless there is exactly one
// within its bounds.
func (b Body) Message() (Message, error) {
	var found []Message
	if b.Digest != nil {
		found = append(found, b.Digest)
	}
	if b.Want != nil {
		found = append(found, b.Want)
	}
	if b.Delta != nil {
		found = append(found, b.Delta)
	}
	if b.Part != nil {
		found = append(found, b.Part)
	}
	if b.Push != nil {
		found = append(found, b.Push)
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%w: %d messages", ErrBounds, len(found))
	}
	return found[0], found[0].Validate()
}

// ListVersion names a list's content. The zero Point is no list.
type ListVersion struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"` // the platform's
	Hash    uint64 `json:"hash"`    // of the domain's part
}

// compare orders points by epoch and version. Two contents of one version are
// ordered by hash, so that all daemons settle on the same one.
func (p ListVersion) compare(o ListVersion) int {
	return cmp.Or(
		cmp.Compare(p.Epoch, o.Epoch),
		cmp.Compare(p.Version, o.Version),
		cmp.Compare(p.Hash, o.Hash),
	)
}

// Digest states what the sender holds.
type Digest struct {
	Held ListVersion `json:"held"`
	// Age is how long ago the platform last showed Held to any reader, in
	// milliseconds; Unknown if no digest has stated it.
	Age uint32 `json:"age"`
}

// AgeUnknown is the age of what is not known to have happened.
const AgeUnknown = math.MaxUint32

// Want asks for what is newer than Have; the zero Point asks for all.
type Want struct {
	Have ListVersion `json:"have"`
}

// Delta is the difference between two lists.
type Delta struct {
	From           ListVersion            `json:"from"`
	To             ListVersion            `json:"to"`
	VMs            []fleet.VM       `json:"vms"`
	Targets        []fleet.Target   `json:"targets"`
	RemovedVMs     []fleet.VMID     `json:"removed_vms"`
	RemovedTargets []fleet.TargetID `json:"removed_targets"`
}

// Part is one part of a whole list.
type Part struct {
	Held    ListVersion          `json:"held"`
	Part    uint32         `json:"part"` // from 0
	Parts   uint32         `json:"parts"`
	VMs     []fleet.VM     `json:"vms"`
	Targets []fleet.Target `json:"targets"`
}

// Push is a Delta that goes down the tree of Root.
type Push struct {
	Root  fleet.VMID `json:"root"`
	Delta Delta      `json:"delta"`
}

// Bounds of messages and lists.
const (
	MaxDeltaEntries = 256     // changed and removed
	MaxPartEntries  = 256     // of one part
	MaxParts        = 256     // of one list
	maxEpoch        = 1 << 32 // epochs
	maxVersion      = 1 << 62
	maxStringBytes         = 256 // bytes of an id, name or address
)

// ErrBounds is the cause of every refusal by Validate.
var ErrBounds = errors.New("machine: message out of bounds")

// Validate refuses points beyond the bounds.
func (p ListVersion) Validate() error {
	if p.Epoch > maxEpoch || p.Version > maxVersion {
		return fmt.Errorf("%w: epoch %d, version %d", ErrBounds, p.Epoch, p.Version)
	}
	return nil
}

// Validate refuses digests beyond the bounds.
func (d *Digest) Validate() error { return d.Held.Validate() }

// Validate refuses wants beyond the bounds.
func (w *Want) Validate() error { return w.Have.Validate() }

// Validate refuses deltas beyond the bounds.
func (d *Delta) Validate() error {
	if d.From.compare(d.To) >= 0 {
		return fmt.Errorf("%w: delta that doesn't rise", ErrBounds)
	}
	if n := d.entries(); n > MaxDeltaEntries {
		return fmt.Errorf("%w: delta of %d entries", ErrBounds, n)
	}
	if err := d.To.Validate(); err != nil {
		return err
	}
	for _, id := range d.RemovedVMs {
		if err := checkStrings(string(id)); err != nil {
			return err
		}
	}
	for _, id := range d.RemovedTargets {
		if err := checkStrings(string(id)); err != nil {
			return err
		}
	}
	return checkEntries(d.VMs, d.Targets)
}

func (d *Delta) entries() int {
	return len(d.VMs) + len(d.Targets) + len(d.RemovedVMs) + len(d.RemovedTargets)
}

// Validate refuses parts beyond the bounds.
func (p *Part) Validate() error {
	if p.Parts == 0 || p.Parts > MaxParts || p.Part >= p.Parts {
		return fmt.Errorf("%w: part %d of %d", ErrBounds, p.Part, p.Parts)
	}
	if n := len(p.VMs) + len(p.Targets); n > MaxPartEntries {
		return fmt.Errorf("%w: part of %d entries", ErrBounds, n)
	}
	if err := p.Held.Validate(); err != nil {
		return err
	}
	return checkEntries(p.VMs, p.Targets)
}

// Validate refuses pushes beyond the bounds.
func (p *Push) Validate() error {
	if err := checkStrings(string(p.Root)); err != nil {
		return err
	}
	return p.Delta.Validate()
}

func checkEntries(vms []fleet.VM, targets []fleet.Target) error {
	for i := range vms {
		v := &vms[i]
		if err := checkStrings(string(v.ID), string(v.Region), string(v.Domain), string(v.Site), v.CallAddr, v.PeerAddr, v.AdminAddr); err != nil {
			return err
		}
	}
	for i := range targets {
		t := &targets[i]
		if err := checkStrings(string(t.ID), string(t.Service), string(t.Region), string(t.Domain), string(t.Site), t.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkStrings refuses an empty id and overlong texts.
func checkStrings(id string, others ...string) error {
	if id == "" || len(id) > maxStringBytes {
		return fmt.Errorf("%w: id of %d bytes", ErrBounds, len(id))
	}
	for _, s := range others {
		if len(s) > maxStringBytes {
			return fmt.Errorf("%w: text of %d bytes", ErrBounds, len(s))
		}
	}
	return nil
}
