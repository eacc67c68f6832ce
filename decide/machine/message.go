package machine

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Message is a message between entry VMs of a domain: *Digest, *Want, *Delta,
// *Part or *Push.
type Message interface {
	// Validate returns an error if the message exceeds the limits below.
	Validate() error
}

// Body is the form of a message on the wire. Exactly one field is set.
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

// Message returns the message in b. It returns an error unless b has exactly
// one message and that is valid.
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
		return nil, fmt.Errorf("%w: body with %d messages, expected one", ErrBounds, len(found))
	}
	return found[0], found[0].Validate()
}

// ListVersion identifies a list and its content. The zero ListVersion means no
// list.
type ListVersion struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"` // as numbered by the platform
	Hash    uint64 `json:"hash"`    // of the domainList
}

// compare orders versions by epoch and number. Different contents of the same
// number are ordered by hash, so that all daemons converge on the same one.
func (v ListVersion) compare(o ListVersion) int {
	return cmp.Or(
		cmp.Compare(v.Epoch, o.Epoch),
		cmp.Compare(v.Version, o.Version),
		cmp.Compare(v.Hash, o.Hash),
	)
}

// Digest states which list the sender has in force.
type Digest struct {
	Held ListVersion `json:"held"`
	// Age is the time since the platform last showed Held to any reader, in
	// milliseconds, or AgeUnknown.
	Age uint32 `json:"age"`
}

// AgeUnknown means that the platform isn't known to have shown the list.
const AgeUnknown = math.MaxUint32

// Want requests the changes since Have, or the whole list if Have is zero.
type Want struct {
	Have ListVersion `json:"have"`
}

// Delta is the difference between two lists.
type Delta struct {
	From           ListVersion      `json:"from"`
	To             ListVersion      `json:"to"`
	VMs            []fleet.VM       `json:"vms"`
	Targets        []fleet.Target   `json:"targets"`
	RemovedVMs     []fleet.VMID     `json:"removed_vms"`
	RemovedTargets []fleet.TargetID `json:"removed_targets"`
}

// Part is one part of a whole list.
type Part struct {
	Held    ListVersion    `json:"held"`
	Part    uint32         `json:"part"` // from 0
	Parts   uint32         `json:"parts"`
	VMs     []fleet.VM     `json:"vms"`
	Targets []fleet.Target `json:"targets"`
}

// Push is a Delta that is forwarded down the tree of Root.
type Push struct {
	Root  fleet.VMID `json:"root"`
	Delta Delta      `json:"delta"`
}

// Limits of messages and lists.
const (
	MaxDeltaEntries = 256     // changed and removed entries of one delta
	MaxPartEntries  = 256     // entries of one part
	MaxParts        = 256     // parts of one list
	maxEpoch        = 1 << 32 // highest epoch
	maxVersion      = 1 << 62
	maxStringBytes  = 256 // length of an id, name or address
)

// ErrBounds is wrapped by every error that Validate returns.
var ErrBounds = errors.New("machine: message out of bounds")

// Validate returns an error if the epoch or version is too high.
func (v ListVersion) Validate() error {
	if v.Epoch > maxEpoch || v.Version > maxVersion {
		return fmt.Errorf("%w: list with epoch %d and version %d", ErrBounds, v.Epoch, v.Version)
	}
	return nil
}

// Validate implements Message.
func (d *Digest) Validate() error { return d.Held.Validate() }

// Validate implements Message.
func (w *Want) Validate() error { return w.Have.Validate() }

// Validate implements Message.
func (d *Delta) Validate() error {
	if d.From.compare(d.To) >= 0 {
		return fmt.Errorf("%w: delta from epoch %d, version %d to epoch %d, version %d is not to a newer list",
			ErrBounds, d.From.Epoch, d.From.Version, d.To.Epoch, d.To.Version)
	}
	if n := d.entries(); n > MaxDeltaEntries {
		return fmt.Errorf("%w: delta with %d entries, at most %d", ErrBounds, n, MaxDeltaEntries)
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

// Validate implements Message.
func (p *Part) Validate() error {
	if p.Parts == 0 || p.Parts > MaxParts || p.Part >= p.Parts {
		return fmt.Errorf("%w: part %d of %d", ErrBounds, p.Part, p.Parts)
	}
	if n := len(p.VMs) + len(p.Targets); n > MaxPartEntries {
		return fmt.Errorf("%w: part with %d entries, at most %d", ErrBounds, n, MaxPartEntries)
	}
	if err := p.Held.Validate(); err != nil {
		return err
	}
	return checkEntries(p.VMs, p.Targets)
}

// Validate implements Message.
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

// checkStrings returns an error if the id is empty or any string is too long.
func checkStrings(id string, others ...string) error {
	if id == "" || len(id) > maxStringBytes {
		return fmt.Errorf("%w: id of %d bytes, expected 1 to %d", ErrBounds, len(id), maxStringBytes)
	}
	for _, s := range others {
		if len(s) > maxStringBytes {
			return fmt.Errorf("%w: string of %d bytes, at most %d", ErrBounds, len(s), maxStringBytes)
		}
	}
	return nil
}
