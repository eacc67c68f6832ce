package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Symptom: a domain whose entry VMs were all replaced serves nothing, or goes
// back. Sequence: all daemons of a domain restart at once, which has no
// platform. Cause: a joiner asks only its own domain.
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

// Symptom: a restarted daemon serves by a revision that its predecessor had
// left. Sequence: the platform is down, a joiner's peers are partly stale, and
// a stale one answers first. Cause: the joiner takes the first answer.
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

// Symptom: as above. Sequence: the platform was restored from older data, and
// answers a joiner before its peers do. Cause: the joiner takes the platform's
// word without asking peers.
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

// Symptom: a daemon with nothing to go by answers look-ups. Sequence: it
// starts alone, without the platform. Cause: an empty catalogue passes for one.
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

// Symptom: a restarted daemon puts a lower revision in force than its
// predecessor had. Sequence: it asks its peers; one that is behind sends two
// digests before a newer one answers. Cause: digests are counted, so the
// second one passes for the answer of the other peer.
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
	is.True(!st.Ready()) // a2 may hold more
	digest = &Digest{Format: Format, Revision: 9, Hash: 1, Age: Unknown, ReadAge: Unknown}
	st.Step(now, &PeerMessage{From: "a2", Msg: digest}, &out)
	is.True(!st.Ready())
	is.Equal(out.Send[0], Send{To: "a2", Msg: &UpdateRequest{Format: Format}})
}
