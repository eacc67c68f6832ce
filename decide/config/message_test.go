package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against daemons that permanently have different content under the same
// revision: a platform that was restored from older data accepted one revision
// twice, in two partitions. The content with the greater hash must win at both
// daemons, and the divergence must be counted.
func TestGreaterHashWinsUnderOneRevision(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 2, 1)
	n.platformDown = true
	a, b := n.daemons[0], n.daemons[1]
	a.st.Step(n.now, &Accepted{Catalogue: withShift(9, "x")}, &a.ready)
	b.st.Step(n.now, &Accepted{Catalogue: withShift(9, "y")}, &b.ready)
	n.run(10 * time.Second)
	is.Equal(a.st.currentVersion(), b.st.currentVersion())
	is.True(a.st.Counters().Diverged+b.st.Counters().Diverged > 0)
}

// Guards against damaged or hostile messages that change the configuration or
// crash the daemon because a bound is not checked.
func TestMalformedMessages(t *testing.T) {
	many := make([]catalogue.Shift, MaxDeltaEntries+1)
	for i := range many {
		many[i].ID = "x"
	}
	bad := map[string]Message{
		"nil":                   nil,
		"revision":              &Digest{Format: Format, Revision: MaxRevision + 1, Age: Unknown, ReadAge: Unknown},
		"age":                   &Digest{Format: Format, Revision: 9, Age: -2, ReadAge: Unknown},
		"read age":              &Digest{Format: Format, Revision: 9, ReadAge: Age(maxAge)},
		"hash without revision": &Digest{Format: Format, Hash: 1},
		"root":                  &Digest{Format: Format, Root: fleet.VMID(make([]byte, MaxIDLen+1))},
		"update request":        &UpdateRequest{Format: Format, Have: MaxRevision + 1},
		"delta backwards":       &Delta{Format: Format, From: 9, To: 9},
		"delta too large":       &Delta{Format: Format, From: 1, To: 9, Shifts: many},
		"delta without id":      &Delta{Format: Format, From: 1, To: 9, Shifts: make([]catalogue.Shift, 1)},
		"removed id":            &Delta{Format: Format, From: 1, To: 9, RemovedShifts: []string{""}},
		"push root":             &Push{Delta: Delta{Format: Format, From: 1, To: 9}},
		"part":                  &Snapshot{Format: Format, Revision: 9, Part: 1, Parts: 1},
		"no parts":              &Snapshot{Format: Format, Revision: 9},
		"too many parts":        &Snapshot{Format: Format, Revision: 9, Parts: MaxParts + 1},
		"part too large":        &Snapshot{Format: Format, Revision: 9, Parts: 1, Shifts: many[:MaxPartEntries+1]},
		"empty snapshot":        &Snapshot{Format: Format, Parts: 1},
	}
	for name, m := range bad {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := convergedNetwork(is, 1, 2)
			v := n.daemons[0]
			before := v.st.currentVersion()
			v.st.Step(n.now, &PeerMessage{From: "a1", Msg: m}, &v.ready)
			is.Equal(v.st.Counters().Malformed, uint64(1))
			is.Equal(v.st.currentVersion(), before)
			is.Equal(v.st.catchUp.highestKnown, before.Revision)
		})
	}
}

// Guards against the loss of fields that a newer release added: a daemon of an
// older release would drop unknown fields and forward the entries. Messages of
// another format must be rejected and counted separately.
func TestOtherFormatIsRefused(t *testing.T) {
	is := is.New(t)
	n := convergedNetwork(is, 1, 2)
	v := n.daemons[0]
	d := &Delta{Format: Format + 1, From: 1, To: 9, Shifts: withShift(9, "x").Shifts}
	v.st.Step(n.now, &PeerMessage{From: "a1", Msg: d}, &v.ready)
	is.Equal(v.st.Counters().OtherFormat, uint64(1))
	is.Equal(v.revision, uint64(1))
}

// Guards against a daemon that applies a catalogue that was never written: a delta
// is damaged or was made from another base. Its result must be compared with the
// stated hash, and on a mismatch the daemon must request a snapshot.
func TestWrongDeltaIsReplacedBySnapshot(t *testing.T) {
	is := is.New(t)
	n := convergedNetwork(is, 1, 2)
	v := n.daemons[0]
	d := &Delta{Format: Format, From: 1, To: 9, Hash: 1, Age: Unknown, Shifts: withShift(9, "x").Shifts}
	v.st.Step(n.now, &PeerMessage{From: "a1", Msg: d}, &v.ready)
	is.Equal(v.st.Counters().HashMismatch, uint64(1))
	is.Equal(v.revision, uint64(1))
	is.Equal(v.ready.Send[0].Msg, Message(&UpdateRequest{Format: Format, Have: 0}))
}
