package peer

import (
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/member"
)

func exampleMessages() []member.Msg {
	fact := member.Fact{ID: "attiki-1-vm-1", Incarnation: 1 << 60, Refutations: 2, Status: member.Leaving,
		Age: 12, Site: "attiki-1", CallAddr: "10.0.0.1:8080", PeerAddr: "10.0.0.1:7946", AdminAddr: "10.0.0.1:8081"}
	vm := member.RowVM{ID: "attiki-1-vm-2", Incarnation: 5, Site: "s", CallAddr: "c", PeerAddr: "p"}
	row := member.Row{Region: "attiki", Domain: "attiki-1", Version: 9, Author: "attiki-1-vm-2",
		Live: 1, Leaving: 1, VMs: []member.RowVM{vm}, AuthorVMs: 1}
	version := member.Version{Domain: "attiki-1", Version: 9, Author: "attiki-1-vm-2"}
	reach := member.ReachResult{Region: "kriti", Domain: "kriti-1", WatcherRegion: "attiki", WatcherDomain: "attiki-1", Reachable: true, Age: 3}
	facts, rows, reaches := []member.Fact{fact}, []member.Row{row}, []member.ReachResult{reach}
	return []member.Msg{
		&member.Ping{Seq: 1, MembersHash: 2, RowsHash: 3, Facts: facts},
		&member.Ack{Seq: 1, MembersHash: 2, RowsHash: 3, Facts: facts},
		&member.PingReq{Seq: 1, VM: vm, Fact: fact},
		&member.Sync{Domain: "attiki-1", Region: "attiki", Digest: facts, Versions: []member.Version{version}},
		&member.SyncAck{Domain: "attiki-1", Facts: facts, Rows: rows, ReachResults: reaches},
		&member.Spread{Hop: member.HopRegion, Backup: true, Facts: facts, Rows: rows, ReachResults: reaches},
		&member.Report{},
		&member.ReportAck{ReachResults: reaches},
		&member.Partial{ReachResults: reaches},
		&member.Watch{Seq: 1, Region: "attiki", OwnRegionHash: 4, RowsHash: 2, ReachResults: reaches},
		&member.WatchAck{Seq: 1, RowsHash: 2, ReachResults: reaches},
		&member.PartialAck{ReachResults: reaches},
	}
}

func TestMemberMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	seen := make(map[uint8]bool)
	for _, m := range exampleMessages() {
		b, err := EncodeMember(m)
		is.NoErr(err)
		got, err := DecodeMember(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m))
		is.True(b.IsMember())
		seen[m.Kind()] = true
	}
	for kind := range uint8(KindLoad) {
		is.Equal(member.NewMsg(kind) != nil, seen[kind])
	}
}

func TestLoadReportRoundTrip(t *testing.T) {
	is := is.New(t)
	r := &load.Report{Scope: load.ScopeOtherRegion, Services: []uint32{7, 8}, Rows: []load.Row{
		{Place: 1, Age: 2, SumAge: 1, ServiceBits: 2, Values: []uint32{1, 2, 3, 4, 5, 6, 7}}}}
	b, err := EncodeLoad(r)
	is.NoErr(err)
	got, err := DecodeLoad(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, r))
	r.Rows[0].Values = r.Rows[0].Values[:6]
	b, err = EncodeLoad(r)
	is.NoErr(err)
	_, err = DecodeLoad(b)
	is.True(errors.Is(err, load.ErrBounds))
}

// Guards against a message of a few bytes that makes the process allocate
// gigabytes: its array header declares four billion elements, and the decoder
// allocates the declared length.
func TestExcessiveArrayLengthIsRefused(t *testing.T) {
	is := is.New(t)
	bomb := []byte{0x94, 1, 2, 3, 0xdd, 0xff, 0xff, 0xff, 0xf0}
	_, err := DecodeMember(Body{Kind: KindMember + Kind(member.KindPing), Data: bomb})
	is.True(errors.Is(err, ErrMalformed))
	deep := make([]byte, 200000)
	for i := range deep {
		deep[i] = 0x91
	}
	_, err = DecodeMember(Body{Kind: KindMember + Kind(member.KindPing), Data: deep})
	is.True(errors.Is(err, ErrMalformed))
}

func TestUnknownKindsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := DecodeMember(Body{Kind: 31})
	is.True(errors.Is(err, ErrKind))
	_, err = DecodeLoad(Body{Kind: KindConfig})
	is.True(errors.Is(err, ErrKind))
	big := Body{Kind: KindLoad, Data: make([]byte, MaxMemberBody+1)}
	_, err = DecodeLoad(big)
	is.True(errors.Is(err, ErrTooLarge))
}
