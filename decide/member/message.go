package member

import (
	"errors"
	"fmt"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Msg is a message between two entry VMs.
type Msg interface {
	// Kind is the message's stable number on the wire.
	Kind() uint8
	// Validate refuses messages beyond the documented bounds.
	Validate() error
}

// The wire numbers of the messages.
const (
	KindPing uint8 = iota + 1
	KindAck
	KindPingReq
	KindSync
	KindSyncAck
	KindSpread
	KindReport
	KindReportAck
	KindPartial
	KindWatch
	KindWatchAck
	KindPartialAck
)

// Bounds of what one message may list.
const (
	MaxFacts   = 512 // facts about members of one domain
	MaxRows    = 256 // domains of the whole system
	MaxReachResults = 256 // reachability statements; also the most that a VM keeps
	RowVMs     = 8   // entry VMs named in a row
)

// ErrBounds is the cause of every refusal by Validate.
var ErrBounds = errors.New("member: message out of bounds")

// Status is what a fact says about a VM. A higher one overrides a lower one
// of the same incarnation and refutation count.
type Status uint8

// The statuses, in rising order.
const (
	Alive Status = iota
	Suspected
	Leaving
	Dead
)

// Fact is a statement about one entry VM of the sender's own domain.
type Fact struct {
	ID          fleet.VMID        `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Refutations uint32            `json:"refutations"`
	Status      Status            `json:"status"`
	Age         uint32            `json:"age"` // ms since Status was established
	// The addresses are empty where the receiver can be expected to have them.
	Site      fleet.Site `json:"site"`
	CallAddr  string     `json:"call_addr"`
	PeerAddr  string     `json:"peer_addr"`
	AdminAddr string     `json:"admin_addr"`
}

// RowVM is an entry VM that a domain offers to others.
type RowVM struct {
	ID          fleet.VMID        `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Site        fleet.Site        `json:"site"`
	CallAddr    string            `json:"call_addr"`
	PeerAddr    string            `json:"peer_addr"`
}

// Row is the aggregate of one failure domain. The one of the highest Version
// counts, and of two with the same one, that of the higher Author: two VMs
// that both think themselves the author can publish in the same millisecond.
type Row struct {
	Region  fleet.Region `json:"region"`
	Domain  fleet.Domain `json:"domain"`
	Version uint64       `json:"version"` // ms since the Unix epoch, or one more than the version replaced
	Author  fleet.VMID   `json:"author"`
	Live    uint32       `json:"live"`
	Leaving uint32       `json:"leaving"`
	// VMs are live ones by rank; the representatives come first. Of a domain
	// that has none, leaving ones are named: they are not offered, but get
	// updates.
	VMs []RowVM `json:"vms"`
	AuthorVMs uint32  `json:"own"` // how many of VMs the author itself holds live; see mergedVM
}

// Version names a row that the sender holds.
type Version struct {
	Domain  fleet.Domain `json:"domain"`
	Version uint64       `json:"version"`
	Author  fleet.VMID   `json:"author"`
}

// ReachResult says whether a watcher in SeenDomain gets answers from a domain or,
// with Domain empty, from a whole region.
type ReachResult struct {
	Region     fleet.Region `json:"region"`
	Domain     fleet.Domain `json:"domain"`
	WatcherRegion fleet.Region `json:"seen_region"`
	WatcherDomain fleet.Domain `json:"seen_domain"`
	Reachable  bool         `json:"reachable"`
	Age        uint32       `json:"age"` // ms since the watcher measured it
}

// Ping asks for an Ack.
type Ping struct {
	Seq     uint32 `json:"seq"`
	MembersHash uint32 `json:"members"` // hash of the sender's table of its domain
	RowsHash    uint32 `json:"rows"`    // hash of the sender's rows
	Facts   []Fact `json:"facts"`
}

// Ack answers a Ping, or a PingReq once its target has answered.
type Ack struct {
	Seq     uint32 `json:"seq"`
	MembersHash uint32 `json:"members"`
	RowsHash    uint32 `json:"rows"`
	Facts   []Fact `json:"facts"`
}

// PingReq asks the receiver to ping Target and to answer with an Ack of this
// Seq if Target answers.
type PingReq struct {
	Seq    uint32 `json:"seq"`
	VM RowVM  `json:"target"`
	// Fact, if it has an ID, is passed to Target: the suspicion or death
	// that it may refute.
	Fact Fact `json:"fact"`
}

// Sync asks for what the sender lacks: Marks are its facts without addresses,
// empty towards another domain; Versions are its rows.
type Sync struct {
	Domain   fleet.Domain `json:"domain"` // of the sender
	Region   fleet.Region `json:"region"` // of the rows meant; empty for all
	Digest    []Fact       `json:"marks"`
	Versions []Version    `json:"versions"`
}

// SyncAck answers a Sync.
type SyncAck struct {
	Domain  fleet.Domain `json:"domain"` // of the sender
	Facts   []Fact       `json:"facts"`
	Rows    []Row        `json:"rows"`
	ReachResults []ReachResult      `json:"reaches"`
}

// Hop says how far the receiver of a Spread forwards it.
type Hop uint8

const (
	// HopMember is for the receiver alone.
	HopMember Hop = iota
	// HopDomain is for the receiver to forward to its own domain.
	HopDomain
	// HopRegion is for the receiver to forward to its domain and its region.
	HopRegion
)

// Spread pushes updates as soon as they arise.
type Spread struct {
	Hop     Hop     `json:"hop"`
	Backup  bool    `json:"backup"` // another representative has it too and goes first
	Facts   []Fact  `json:"facts"`
	Rows    []Row   `json:"rows"`
	ReachResults []ReachResult `json:"reaches"`
}

// Report goes from a VM to its representative; the load report is piggybacked on it.
type Report struct{}

// ReportAck answers a Report.
type ReportAck struct {
	ReachResults []ReachResult `json:"reaches"`
}

// Partial goes from one representative of a domain to another.
type Partial struct {
	ReachResults []ReachResult `json:"reaches"`
}

// PartialAck answers a Partial.
type PartialAck struct {
	ReachResults []ReachResult `json:"reaches"`
}

// Watch is sent to a representative of a watched domain or region.
type Watch struct {
	Seq     uint32       `json:"seq"`
	Region  fleet.Region `json:"region"` // of the sender
	OwnRegionHash     uint32       `json:"own"`    // hash of the sender's rows of its region
	RowsHash    uint32       `json:"rows"`   // hash of its rows of the receiver's region; inside a region, of all
	ReachResults []ReachResult      `json:"reaches"`
}

// WatchAck answers a Watch.
type WatchAck struct {
	Seq     uint32  `json:"seq"`
	RowsHash    uint32  `json:"rows"` // hash of the same rows at the receiver of the Watch
	ReachResults []ReachResult `json:"reaches"`
}

// Kind implements Msg.
func (*Ping) Kind() uint8 { return KindPing }

// Kind implements Msg.
func (*Ack) Kind() uint8 { return KindAck }

// Kind implements Msg.
func (*PingReq) Kind() uint8 { return KindPingReq }

// Kind implements Msg.
func (*Sync) Kind() uint8 { return KindSync }

// Kind implements Msg.
func (*SyncAck) Kind() uint8 { return KindSyncAck }

// Kind implements Msg.
func (*Spread) Kind() uint8 { return KindSpread }

// Kind implements Msg.
func (*Report) Kind() uint8 { return KindReport }

// Kind implements Msg.
func (*ReportAck) Kind() uint8 { return KindReportAck }

// Kind implements Msg.
func (*Partial) Kind() uint8 { return KindPartial }

// Kind implements Msg.
func (*Watch) Kind() uint8 { return KindWatch }

// Kind implements Msg.
func (*WatchAck) Kind() uint8 { return KindWatchAck }

// Kind implements Msg.
func (*PartialAck) Kind() uint8 { return KindPartialAck }

// IsAnswer reports whether a kind only answers another message. The loss of
// an answer is noticed by the one who asked.
func IsAnswer(kind uint8) bool {
	switch kind {
	case KindAck, KindSyncAck, KindReportAck, KindWatchAck, KindPartialAck:
		return true
	default:
		return false
	}
}

// NewMsg returns an empty message of a kind, for a decoder to fill; nil if
// the kind is unknown.
func NewMsg(kind uint8) Msg {
	switch kind {
	case KindPing:
		return new(Ping)
	case KindAck:
		return new(Ack)
	case KindPingReq:
		return new(PingReq)
	case KindSync:
		return new(Sync)
	case KindSyncAck:
		return new(SyncAck)
	case KindSpread:
		return new(Spread)
	case KindReport:
		return new(Report)
	case KindReportAck:
		return new(ReportAck)
	case KindPartial:
		return new(Partial)
	case KindWatch:
		return new(Watch)
	case KindWatchAck:
		return new(WatchAck)
	case KindPartialAck:
		return new(PartialAck)
	default:
		return nil
	}
}

func checkLimit(what string, n, limit int) error {
	if n > limit {
		return fmt.Errorf("%w: %d %s, at most %d", ErrBounds, n, what, limit)
	}
	return nil
}

func validate(facts []Fact, rows []Row, versions []Version, reaches []ReachResult) error {
	for _, f := range facts {
		if f.ID == "" || f.Status > Dead {
			return fmt.Errorf("%w: fact about %q with status %d", ErrBounds, f.ID, f.Status)
		}
	}
	for i := range rows {
		if err := rows[i].validate(); err != nil {
			return err
		}
	}
	return errors.Join(
		checkLimit("facts", len(facts), MaxFacts),
		checkLimit("rows", len(rows), MaxRows),
		checkLimit("versions", len(versions), MaxRows),
		checkLimit("reaches", len(reaches), MaxReachResults),
	)
}

func (r *Row) validate() error {
	if r.Domain == "" || r.Region == "" {
		return fmt.Errorf("%w: row without domain or region", ErrBounds)
	}
	for _, v := range r.VMs {
		if v.ID == "" {
			return fmt.Errorf("%w: row of %s names a VM without id", ErrBounds, r.Domain)
		}
	}
	return checkLimit("VMs in a row", len(r.VMs), RowVMs)
}

// Validate implements Msg.
func (m *Ping) Validate() error { return validate(m.Facts, nil, nil, nil) }

// Validate implements Msg.
func (m *Ack) Validate() error { return validate(m.Facts, nil, nil, nil) }

// Validate implements Msg.
func (m *PingReq) Validate() error {
	if m.VM.ID == "" {
		return fmt.Errorf("%w: ping request without target", ErrBounds)
	}
	if m.Fact.ID == "" {
		return nil
	}
	return validate([]Fact{m.Fact}, nil, nil, nil)
}

// Validate implements Msg.
func (m *Sync) Validate() error { return validate(m.Digest, nil, m.Versions, nil) }

// Validate implements Msg.
func (m *SyncAck) Validate() error { return validate(m.Facts, m.Rows, nil, m.ReachResults) }

// Validate implements Msg.
func (m *Spread) Validate() error { return validate(m.Facts, m.Rows, nil, m.ReachResults) }

// Validate implements Msg.
func (*Report) Validate() error { return nil }

// Validate implements Msg.
func (m *ReportAck) Validate() error { return validate(nil, nil, nil, m.ReachResults) }

// Validate implements Msg.
func (m *Partial) Validate() error { return validate(nil, nil, nil, m.ReachResults) }

// Validate implements Msg.
func (m *Watch) Validate() error { return validate(nil, nil, nil, m.ReachResults) }

// Validate implements Msg.
func (m *WatchAck) Validate() error { return validate(nil, nil, nil, m.ReachResults) }

// Validate implements Msg.
func (m *PartialAck) Validate() error { return validate(nil, nil, nil, m.ReachResults) }
