package machine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/fleet"
)

func removeFirstTarget(l *fleet.List) { l.Targets = l.Targets[1:] }

func addTarget(i int) func(*fleet.List) {
	return func(l *fleet.List) { l.Targets = append(l.Targets, testTarget(i)) }
}

// Only two of many daemons watch the platform, and all of them must have a
// change within 50 ms.
func TestPushReachesAllDaemons(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 43, 600, 50)
	n.run(3 * time.Second)
	is.NoErr(n.checkConverged())
	n.change(addTarget(60))
	n.run(50 * time.Millisecond)
	is.NoErr(n.checkConverged())
	for i, v := range n.daemons {
		is.Equal(v.watches, i < 2)
	}
}

// A daemon restarts while the platform is down, and the first member that it
// asks for the list may be dead but still listed. It must ask another one, or
// it can't serve requests for seconds.
func TestJoinWithDeadMember(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 600, 50)
	n.run(3 * time.Second)
	n.platformDown = true
	for _, v := range n.daemons[2:4] {
		v.isolated = true
	}
	joiner := n.daemons[5]
	for range 20 {
		n.start(joiner)
		started := n.now
		n.run(time.Second)
		is.True(joiner.applied != nil)
		is.True(joiner.appliedAt.Sub(started) < time.Second)
	}
}

// A reader that was paused reads an old list. If the list read last counted as
// the newest, targets that have started since would not be used.
func TestPausedReader(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 8, 10)
	old := n.list
	n.run(3 * time.Second)
	n.change(addTarget(20))
	n.run(time.Second)
	n.daemons[0].isolated = true
	n.step(n.daemons[0], &ListRead{List: old})
	n.run(2 * LowerVersionFor) // nothing confirms the old list
	is.Equal(n.daemons[0].version, n.daemons[7].version)
	n.daemons[0].isolated = false
	n.step(n.daemons[0], &ListRead{List: old})
	n.run(2 * LowerVersionFor)
	is.NoErr(n.checkConverged())
	is.Equal(n.daemons[0].version.Epoch, uint64(0))
}

// One reader is connected to a stalled replica of the platform, while the list
// doesn't change for a long time. If the lower version that this reader keeps
// getting counted as a restored platform, the domain would alternate between two
// lists.
func TestStalledReplica(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 43, 43, 10)
	n.run(3 * time.Second)
	old := n.list
	n.change(addTarget(20))
	n.run(3 * time.Second)
	n.daemons[1].stalledReplica = &old
	n.run(10 * LowerVersionFor)
	is.NoErr(n.checkConverged()) // checkStep records a new epoch as a violation
	is.Equal(n.daemons[1].shownVersion, old.Version)
}

// The platform is restored from older data, and its versions start lower. If
// lower versions were always ignored, a domain would keep an outdated list
// permanently. Live targets that the older data lacks must stay in force
// meanwhile.
func TestPlatformRestored(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 8, 10)
	old := n.list
	n.run(3 * time.Second)
	for i := range 5 {
		n.change(addTarget(20 + i))
	}
	n.run(time.Second)
	n.list, n.restored = old, true
	n.sendListToWatchers()
	n.run(LowerVersionFor - 2*time.Second)
	is.Equal(n.daemons[7].version.Epoch, uint64(0))
	n.run(2 * confirmEvery)
	is.Equal(n.daemons[7].version.Epoch, uint64(1))
	n.run(time.Minute)
	is.Equal(len(n.daemons[7].applied.Targets), 15) // targets that the older data lacks stay
	for i := range 5 {
		n.change(addTarget(20 + i)) // the platform detects them again
	}
	n.change(addTarget(30))
	n.run(2 * time.Second)
	is.NoErr(n.checkConverged())
}

// A restored platform reaches the version in force with other content before
// any reader has seen a lower version. If only versions were compared, daemons
// would disagree on the content of one version permanently.
func TestSameVersionWithOtherContent(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 8, 10)
	n.run(3 * time.Second)
	n.restored = true
	n.list.Targets = slices.Concat(n.list.Targets, []fleet.Target{testTarget(40)})
	n.sendListToWatchers()
	n.run(2 * time.Second)
	is.NoErr(n.checkConverged())
}

// A newer version lacks all targets by mistake, and the next one has them
// again. Applied at once, it would leave the domain without targets.
func TestEmptyList(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 8, 10)
	n.run(3 * time.Second)
	all := n.list.Targets
	n.change(func(l *fleet.List) { l.Targets = nil })
	n.run(TargetGrace - time.Second)
	is.Equal(len(n.daemons[7].applied.Targets), 10)
	n.change(func(l *fleet.List) { l.Targets = all[:9] })
	n.run(TargetGrace - time.Second)
	is.Equal(len(n.daemons[7].applied.Targets), 9) // the tenth has been absent for TargetGrace
	is.NoErr(n.checkConverged())
	n.change(func(l *fleet.List) { l.Targets[0].State = fleet.Leaving })
	n.change(removeFirstTarget)
	n.run(time.Second)
	is.NoErr(n.checkConverged()) // a leaving target isn't retained
}

// Both readers are cut off, and no other daemon has become a reader. The
// others must detect the silence and watch the platform themselves, or the
// domain's list is no longer updated.
func TestReadersCutOff(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 3, 8, 10)
	n.run(3 * time.Second)
	n.daemons[0].isolated, n.daemons[1].isolated = true, true
	n.change(addTarget(20))
	n.run(SilenceTimeout + 3*RankStagger + time.Second)
	is.True(n.daemons[2].watches)
	is.Equal(len(n.daemons[2].applied.Targets), 11)
	n.platformDown = true
	n.run(time.Hour)
	is.Equal(len(n.daemons[2].applied.Targets), 11) // without the platform it keeps its list
}

// The views of all other members lack one daemon, so it gets no push and no
// Digest. Unless a Digest that is behind is answered, its list stays old
// permanently.
func TestDaemonMissingFromViews(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 8, 8, 10)
	n.run(3 * time.Second)
	var others []fleet.VMID
	for _, v := range n.daemons[:7] {
		others = append(others, v.vm.ID)
	}
	for _, v := range n.daemons[:7] {
		n.step(v, &Members{IDs: others})
	}
	n.change(addTarget(20))
	n.run(2 * DigestEvery)
	is.NoErr(n.checkConverged())
	is.True(!n.daemons[7].watches)
}

// A delta with another base, and parts that don't have the stated hash, must
// never be put in force.
func TestCorruptContentIsRejected(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 2, 8, 10)
	n.run(3 * time.Second)
	v := n.daemons[1]
	before := v.version
	to := ListVersion{Version: 200, Hash: 7}
	n.step(v, &PeerMessage{From: n.daemons[0].vm.ID, Msg: &Delta{From: before, To: to, RemovedTargets: []fleet.TargetID{"calc-0001"}}})
	n.step(v, &PeerMessage{From: n.daemons[0].vm.ID, Msg: &Part{Held: to, Parts: 1}})
	n.step(v, &PeerMessage{From: n.daemons[0].vm.ID, Msg: &Part{Held: to, Parts: 0}})
	is.Equal(v.version, before)
	is.True((&Delta{From: to, To: before}).Validate() != nil)
	is.True((&Part{Held: to, Parts: 2, Part: 2}).Validate() != nil)
	is.True((&Part{Held: to, Parts: 1, VMs: make([]fleet.VM, 1)}).Validate() != nil) // no id
	is.True((&Push{Delta: Delta{To: to}}).Validate() != nil)
	_, err := Body{Digest: &Digest{}, Want: &Want{}}.Message()
	is.True(err != nil)
}

// TestRandomFaults runs random sequences of changes, restarts, message losses,
// isolated daemons, outages, and restores of the platform from older data. The
// network checks in each step that no daemon returns to an older list or loses
// a live target before its grace period ends. In the end all daemons must have
// the newest list.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "size"), 10, 10)
		old := n.list
		for i := range rapid.IntRange(3, 30).Draw(t, "steps") {
			n.injectFault(t, i, &old)
			n.run(rapid.SampledFrom([]time.Duration{1, 40, 900, 9000, 40000}).Draw(t, "wait") * time.Millisecond)
		}
		n.lossRate, n.platformDown = 0, false
		n.announceMembers()
		for _, v := range n.daemons {
			v.isolated = false
			if v.state == nil {
				n.start(v)
			}
		}
		n.step(n.daemons[0], &ReaderRole{On: true})
		n.sendListToWatchers()
		n.run(NewEpochGrace + 2*LowerVersionFor)
		if err := n.checkConverged(); err != nil {
			t.Fatal(err)
		}
	})
}

func (n *network) injectFault(t *rapid.T, i int, old *fleet.List) {
	v := n.daemons[rapid.IntRange(0, len(n.daemons)-1).Draw(t, "daemon")]
	switch rapid.IntRange(0, 10).Draw(t, "what") {
	case 0, 1:
		n.change(addTarget(100 + i))
	case 2:
		n.change(func(l *fleet.List) {
			if len(l.Targets) > 0 {
				removeFirstTarget(l)
			}
		})
	case 3:
		n.change(func(l *fleet.List) { l.Targets[len(l.Targets)-1].State = fleet.Leaving })
	case 4:
		v.state = nil
		n.announceMembers()
	case 5:
		n.start(v)
	case 6:
		v.isolated = !v.isolated
	case 7:
		n.platformDown = !n.platformDown
		n.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	case 8:
		if v.state != nil {
			n.step(v, &ReaderRole{On: rapid.Bool().Draw(t, "on")})
		}
	case 9:
		if rapid.Bool().Draw(t, "back") {
			n.list, n.restored = *old, true
			n.sendListToWatchers()
			return
		}
		*old = n.list
	case 10: // a view that lacks some members until the next announcement
		if v.state != nil {
			n.step(v, &Members{IDs: []fleet.VMID{n.daemons[0].vm.ID, n.daemons[len(n.daemons)/2].vm.ID}})
		}
	}
}
