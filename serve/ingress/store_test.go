package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/kv"
	"github.com/azurethread/azurethread/serve/kv/kvtest"
)

// gate is a store that refuses the reads of one entry VM.
type gate struct {
	kv.Store
	shut atomic.Bool
}

func (g *gate) refused() error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, Err: kvtest.ErrDown}
}

func (g *gate) Range(ctx context.Context, prefix string, from kv.Replica) (kv.Snapshot, error) {
	if g.shut.Load() {
		return kv.Snapshot{}, g.refused()
	}
	return g.Store.Range(ctx, prefix, from)
}

func (g *gate) Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (kv.Changes, error) {
	c, err := g.Store.Watch(ctx, prefix, after, wait)
	if g.shut.Load() {
		return kv.Changes{}, g.refused()
	}
	return c, err
}

// Symptom: one entry VM serves an old configuration for as long as the store
// refuses it, and sends to targets that have left.
// Sequence: the store turns one VM away and serves the others; an operator
// changes the configuration, and a target leaves.
// Cause: a VM knew only what it read itself.
func TestOthersPassOnTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	g := &gate{Store: w.store}
	a := w.entry("vm-1")
	b := w.entryWith("vm-2", g)
	w.eventually("they know each other", func() bool { return len(b.members.Load().vms) == 2 && len(a.members.Load().vms) == 2 })
	g.shut.Store(true)
	w.target("t2", ok("two"))
	w.store.Remove("test/target/t1")
	rt := plain(true)
	rt.Prefix = "/new/"
	w.configure(2, rt)
	w.eventually("the refused VM follows", func() bool { return b.version() == 2 })
	res, body := ask(t, b, http.MethodGet, "/new/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "two")
}

// Symptom: changes are missed after the store has dropped its history.
// Sequence: the store forgets its history while changes are made.
// Cause: a watch that was refused was simply repeated.
func TestDroppedHistory(t *testing.T) {
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	s := w.entry("vm-1")
	w.store.SetDown(true)
	w.eventually("the store is lost", func() bool { return s.storeLost.Load() })
	w.configure(2, plain(true))
	w.store.Compact()
	w.store.SetDown(false)
	w.eventually("the change is in force", func() bool { return s.version() == 2 })
}

// Symptom: callers are not sent to a VM that serves.
// Sequence: the store takes the VM's key away, and no call shows it.
// Cause: the VM renewed its lease and never looked at its key.
func TestKeyThatWasTakenAwayComesBack(t *testing.T) {
	w := newWorld(t, plain(true))
	w.entry("vm-1")
	time.Sleep(relistAfter) // a key just written is not written again
	w.store.Remove(prefixMembers + "vm-1")
	w.eventually("the key is back", func() bool {
		_, listed := w.store.Get(prefixMembers + "vm-1")
		return listed
	})
}

// Symptom: look-ups name a VM that is leaving, and it takes requests until its
// end.
// Sequence: a planned stop.
// Cause: its key stayed in the store until the lease ended.
func TestLeavingVMIsNotNamed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	a, b := w.entry("vm-1"), w.entry("vm-2")
	w.eventually("both are named", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 2 })
	is.NoErr(a.Stop())
	w.eventually("one is named", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 1 })
	is.Equal(b.lookup(Lookup{Domain: "d1"})[0], b.set.Self.CallAddr)
}

// Symptom: a VM that was restarted refuses everything for as long as the store
// is away, although its neighbours serve.
// Sequence: the store goes down, then a VM is restarted.
// Cause: it knew other entry VMs from the store alone, and asked nobody.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	a := w.entry("vm-1")
	g := &gate{Store: w.store}
	g.shut.Store(true)
	b := w.start("vm-2", g, a.set.Self.PeerAddr)
	w.eventually("it has a configuration", func() bool { return b.version() == 1 && b.knows(1) })
	res, body := ask(t, b, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "one")
}

// Symptom: requests go on to a target for which nobody vouches any more.
// Sequence: another writer puts bytes that can't be read over its registration;
// later the target writes its own again.
// Cause: what can't be decoded changed nothing, also where a target is named.
func TestABadEntryTakesItsTargetOutOfUse(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	s := w.entry("vm-1")
	status := func(id string) int {
		res, _ := ask(t, s, http.MethodGet, "/x", id)
		return res.StatusCode
	}
	w.eventually("it is used", func() bool { return status("id-1") == http.StatusOK })
	good, found := w.store.Get("test/target/t1")
	is.True(found)
	w.store.Put("test/target/t1", "\xff not an entry")
	w.eventually("it is not used", func() bool { return status("id-2") == http.StatusServiceUnavailable })
	w.store.Put("test/target/t1", good)
	w.eventually("it is used again", func() bool { return status("id-3") == http.StatusOK })
}

// Symptom: a VM that has just started serves an old configuration and sends to
// targets that have left.
// Sequence: it starts while the replica that answers its first read is behind.
// Cause: the first copy was taken for the store's present state.
func TestFirstCopyMayBeBehind(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	w.store.FreezeReplica()
	w.target("t2", ok("two"))
	w.store.Remove("test/target/t1")
	w.configure(2, plain(true))
	s := w.entry("vm-1")
	w.eventually("it is up to date", func() bool { return s.version() == 2 && s.knows(1) })
	res, body := ask(t, s, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "two")
}

// Symptom: changes are missed for good after a start.
// Sequence: the replica that answers the first read is behind, and the store has
// dropped the history since.
// Cause: a copy from such a replica can't follow a watch, and was read again from
// the same replica.
func TestFirstCopyIsTooOldToFollow(t *testing.T) {
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	w.store.FreezeReplica()
	w.configure(2, plain(true))
	w.store.Compact()
	s := w.start("vm-1", w.store)
	w.eventually("it is up to date", func() bool { return s.version() == 2 && s.knows(1) })
}

// Symptom: at the first start of a fleet, which has no configuration for seconds,
// every VM reads the store by itself.
// Sequence: VMs start before the operators' first configuration.
// Cause: VMs were listed once they had a configuration, and knew no readers
// until then.
func TestListedBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := &world{t: t, store: kvtest.New(), log: io.Discard}
	s := w.start("vm-1", w.store)
	w.eventually("it is listed", func() bool {
		_, listed := w.store.Get(prefixMembers + "vm-1")
		return listed
	})
	is.True(!s.takesRequests())
}

// Pattern: the store turns a third of 295 VMs away for nine seconds. A call each
// 0.4 s from the two loops of each VM would be 4,400 calls, all of them refused.
func TestPausesGrowWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	next, reset := w.entry("vm-1").storeBackoff()
	calls, passed := 0, time.Duration(0)
	for ; passed < 9*time.Second; calls++ {
		d := next()
		is.True(d <= maxRetryPause)
		passed += d
	}
	is.True(calls <= 9)
	reset()
	is.True(next() <= retryPause)
}
