package member

import (
	"errors"
	"fmt"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Msg is a message between two entry VMs.
type Msg interface {
	// Kind returns the message's fixed number on the wire.
	Kind() uint8
	// Validate returns an error if the message exceeds the limits below.
	Validate() error
}

// The message kinds, as sent on the wire.
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

// Limits of one message.
const (
	MaxFacts        = 512 // facts about members of one domain
	MaxRows         = 256 // domains in all regions
	MaxReachResults = 256 // also the limit of what a VM stores
	MaxRowVMs       = 8   // entry VMs in one row
)

// ErrBounds is wrapped by every error that Validate returns.
var ErrBounds = errors.New("member: message out of bounds")

// Status is the state of a VM in a fact. A higher status overrides a lower one
// of the same incarnation and refutation count.
type Status uint8

// The statuses, in ascending order.
const (
	Alive Status = iota
	Suspected
	Leaving
	Dead
)

// Fact is a membership update: the status of one entry VM of the sender's
// domain.
type Fact struct {
	ID          fleet.VMID        `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Refutations uint32            `json:"refutations"`
	Status      Status            `json:"status"`
	Age         uint32            `json:"age"` // ms since Status was established
	// The site and addresses are empty where the receiver is expected to know
	// them.
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

// Row is the summary of one failure domain in the table of domains. The row
// with the highest Version replaces the others. Of two rows with the same
// Version, the one with the higher Author does: two VMs that both act as the
// author can publish in the same millisecond.
type Row struct {
	Region  fleet.Region `json:"region"`
	Domain  fleet.Domain `json:"domain"`
	Version uint64       `json:"version"` // ms since the Unix epoch, or one more than the version replaced
	Author  fleet.VMID   `json:"author"`
	Live    uint32       `json:"live"`
	Leaving uint32       `json:"leaving"`
	// VMs lists live VMs by rank, so the representatives come first. A domain
	// without live VMs lists leaving ones: they are not offered to callers, but
	// receive updates.
	VMs       []RowVM `json:"vms"`
	AuthorVMs uint32  `json:"own"` // number of VMs that are live in the author's own view; see mergedVM
}

// Version identifies the version of a row that the sender stores.
type Version struct {
	Domain  fleet.Domain `json:"domain"`
	Version uint64       `json:"version"`
	Author  fleet.VMID   `json:"author"`
}

// ReachResult states whether a watcher in WatcherDomain can reach a domain or,
// if Domain is empty, a whole region.
type ReachResult struct {
	Region        fleet.Region `json:"region"`
	Domain        fleet.Domain `json:"domain"`
	WatcherRegion fleet.Region `json:"seen_region"`
	WatcherDomain fleet.Domain `json:"seen_domain"`
	Reachable     bool         `json:"reachable"`
	Age           uint32       `json:"age"` // ms since the watcher measured it
}

// Ping asks for an Ack.
type Ping struct {
	Seq         uint32 `json:"seq"`
	MembersHash uint32 `json:"members"` // hash of the sender's table of members
	RowsHash    uint32 `json:"rows"`    // hash of the sender's table of domains
	Facts       []Fact `json:"facts"`
}

// Ack answers a Ping, or a PingReq once the probed VM has answered.
type Ack struct {
	Seq         uint32 `json:"seq"`
	MembersHash uint32 `json:"members"`
	RowsHash    uint32 `json:"rows"`
	Facts       []Fact `json:"facts"`
}

// PingReq asks the receiver to ping VM, and to answer with an Ack with this Seq
// if VM answers.
type PingReq struct {
	Seq uint32 `json:"seq"`
	VM  RowVM  `json:"target"`
	// Fact, if it has an ID, is passed to VM: a suspicion that VM can refute.
	Fact Fact `json:"fact"`
}

// Sync requests the facts and rows that are newer than the sender's. Digest
// holds the sender's facts without addresses; it is empty if the receiver is of
// another domain. Versions holds the versions of the sender's rows.
type Sync struct {
	Domain   fleet.Domain `json:"domain"` // of the sender
	Region   fleet.Region `json:"region"` // of the requested rows; empty for all
	Digest   []Fact       `json:"marks"`
	Versions []Version    `json:"versions"`
}

// SyncAck answers a Sync with a delta: what the receiver of the Sync has newer.
type SyncAck struct {
	Domain       fleet.Domain  `json:"domain"` // of the sender
	Facts        []Fact        `json:"facts"`
	Rows         []Row         `json:"rows"`
	ReachResults []ReachResult `json:"reaches"`
}

// Hop determines how far the receiver of a Spread forwards it.
type Hop uint8

const (
	// HopMember: the receiver doesn't forward it.
	HopMember Hop = iota
	// HopDomain: the receiver forwards it within its domain.
	HopDomain
	// HopRegion: the receiver forwards it within its domain and to the other
	// domains of its region.
	HopRegion
)

// Spread pushes updates as soon as they occur.
type Spread struct {
	Hop          Hop           `json:"hop"`
	Backup       bool          `json:"backup"` // another representative has received it too and forwards it first
	Facts        []Fact        `json:"facts"`
	Rows         []Row         `json:"rows"`
	ReachResults []ReachResult `json:"reaches"`
}

// Report goes from a VM to its representative, with a load report piggybacked.
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

// Watch checks whether a domain or region is reachable. It is sent to one of
// its representatives.
type Watch struct {
	Seq           uint32        `json:"seq"`
	Region        fleet.Region  `json:"region"` // of the sender
	OwnRegionHash uint32        `json:"own"`    // hash of the sender's rows of its own region
	RowsHash      uint32        `json:"rows"`   // hash of the sender's rows of the receiver's region; within one region, of all rows
	ReachResults  []ReachResult `json:"reaches"`
}

// WatchAck answers a Watch.
type WatchAck struct {
	Seq          uint32        `json:"seq"`
	RowsHash     uint32        `json:"rows"` // hash of the same rows at the VM that answers
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

// IsAnswer reports whether messages of a kind answer another message. Their
// loss need not be reported, since the requester detects it by a timeout.
func IsAnswer(kind uint8) bool {
	switch kind {
	case KindAck, KindSyncAck, KindReportAck, KindWatchAck, KindPartialAck:
		return true
	default:
		return false
	}
}

// NewMsg returns an empty message of a kind, for a decoder to fill, or nil if
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

func validate(facts []Fact, rows []Row, versions []Version, results []ReachResult) error {
	for _, f := range facts {
		if f.ID == "" || f.Status > Dead {
			return fmt.Errorf("%w: fact about VM %q with status %d", ErrBounds, f.ID, f.Status)
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
		checkLimit("reachability results", len(results), MaxReachResults),
	)
}

func (r *Row) validate() error {
	if r.Domain == "" || r.Region == "" {
		return fmt.Errorf("%w: row with domain %q and region %q", ErrBounds, r.Domain, r.Region)
	}
	for _, v := range r.VMs {
		if v.ID == "" {
			return fmt.Errorf("%w: row of domain %s lists a VM without an id", ErrBounds, r.Domain)
		}
	}
	return checkLimit("VMs in a row", len(r.VMs), MaxRowVMs)
}

// Validate implements Msg.
func (m *Ping) Validate() error { return validate(m.Facts, nil, nil, nil) }

// Validate implements Msg.
func (m *Ack) Validate() error { return validate(m.Facts, nil, nil, nil) }

// Validate implements Msg.
func (m *PingReq) Validate() error {
	if m.VM.ID == "" {
		return fmt.Errorf("%w: ping request without a VM to ping", ErrBounds)
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
