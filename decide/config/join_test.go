package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against a domain that has no catalogue, or an older one, after all its
// daemons restart at once while it cannot reach the platform. A joining daemon
// must also ask peers in other domains.
func TestWholeDomainRestarted(t *testing.T) {
	is := is.New(t)
	n := convergedNetwork(is, 3, 4)
	is.True(n.write(n.byID["a0"], "s", false))
	n.domainsWithoutPlatform["b"] = true
	n.run(time.Second)
	for _, v := range n.daemons {
		if v.domain == "b" {
			n.kill(v)
			n.restart(v)
		}
	}
	n.run(3 * time.Second)
	is.NoErr(n.checkConverged())
}

// Guards against a restarted daemon that installs a lower revision than it had
// before: the platform is down, some peers are stale, and a stale one answers
// first. The daemon must not install the first answer.
func TestJoinerMeetsStalePeer(t *testing.T) {
	is := is.New(t)
	n := convergedNetwork(is, 3, 2)
	n.domainsWithoutPlatform["c"] = true
	n.partitions[[2]fleet.Domain{"a", "c"}] = true
	n.partitions[[2]fleet.Domain{"b", "c"}] = true
	is.True(n.write(n.byID["a0"], "s", false))
	n.run(5 * time.Second)
	n.platformDown = true
	clear(n.partitions)
	b := n.byID["b0"]
	n.kill(b)
	n.restart(b)
	n.run(20 * time.Millisecond)
	is.True(n.byID["c0"].revision < n.platform.cat.Revision) // c is still stale
	n.run(JoinWait)
	is.Equal(b.st.Counters().Applied, uint64(1))
	is.Equal(b.revision, n.platform.cat.Revision)
}

// Guards against the failure of TestJoinerMeetsStalePeer if the platform was
// restored from older data and answers before the peers do. The joining daemon
// must also ask peers.
func TestJoinerMeetsStalePlatform(t *testing.T) {
	is := is.New(t)
	n := convergedNetwork(is, 2, 2)
	old := n.platform
	is.True(n.write(n.byID["a0"], "s", false))
	n.run(time.Second)
	newest := n.platform.cat.Revision
	n.rollBack(old)
	b := n.byID["b0"]
	n.kill(b)
	n.restart(b)
	n.run(JoinWait)
	is.Equal(b.st.Counters().Applied, uint64(1))
	is.Equal(b.revision, newest)
}

// Guards against a daemon that answers look-ups without a catalogue: it starts
// alone, without the platform, and treats an empty catalogue as valid.
func TestSingleDaemonWithoutPlatform(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 1, 1)
	n.platformDown = true
	n.run(time.Minute)
	v := n.daemons[0]
	is.True(!v.st.Ready())
	is.Equal(v.st.Catalogue(), nil)
	n.heal()
	n.run(convergeWithin)
	is.NoErr(n.checkConverged())
}

// Guards against a restarted daemon that installs a lower revision than it had
// before: it asks two peers, and the one that is behind sends two digests before
// the other answers. If digests were counted instead of peers, the second one
// would count as the answer of the other peer.
func TestJoinerCountsEachPeerOnce(t *testing.T) {
	is := is.New(t)
	st := New(Config{Self: "a0", Domain: "a"})
	var out Ready
	now := clock.Time(time.Hour)
	st.Step(now, &Members{Members: []Member{{ID: "a0", Domain: "a"}, {ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}}}, &out)
	is.Equal(len(out.Send), 2) // both are asked
	older, err := newContent(withShift(8, "x"))
	is.NoErr(err)
	digest := &Digest{Format: Format, Revision: 8, Hash: older.hash(), Age: Unknown, ReadAge: Unknown}
	for range 2 {
		st.Step(now, &PeerMessage{From: "a1", Msg: digest}, &out)
	}
	for _, part := range splitSnapshot(older, Unknown) {
		st.Step(now, &PeerMessage{From: "a1", Msg: part}, &out)
	}
	is.True(!st.Ready()) // a2 may have a higher revision
	digest = &Digest{Format: Format, Revision: 9, Hash: 1, Age: Unknown, ReadAge: Unknown}
	st.Step(now, &PeerMessage{From: "a2", Msg: digest}, &out)
	is.True(!st.Ready())
	is.Equal(out.Send[0], Send{To: "a2", Msg: &UpdateRequest{Format: Format}})
}
