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

// refusingStore is a store that refuses the reads of one entry VM.
type refusingStore struct {
	kv.Store
	refusing atomic.Bool
}

func (g *refusingStore) refusal() error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, Err: kvtest.ErrDown}
}

func (g *refusingStore) Range(ctx context.Context, prefix string, from kv.Replica) (kv.Snapshot, error) {
	if g.refusing.Load() {
		return kv.Snapshot{}, g.refusal()
	}
	return g.Store.Range(ctx, prefix, from)
}

func (g *refusingStore) Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (kv.Changes, error) {
	c, err := g.Store.Watch(ctx, prefix, after, wait)
	if g.refusing.Load() {
		return kv.Changes{}, g.refusal()
	}
	return c, err
}

// Symptom: one entry VM serves an old configuration for as long as the store
// refuses it, and sends to targets that have left.
// Sequence: the store turns one VM away and serves the others; an operator
// changes the configuration, and a target leaves.
// Cause: a VM knew only what it read itself.
func TestNeighboursRelayStoreChanges(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	g := &refusingStore{Store: w.store}
	a := w.startListed("vm-1")
	b := w.startListedWith("vm-2", g)
	w.eventually("they know each other", func() bool { return len(b.members.Load().vms) == 2 && len(a.members.Load().vms) == 2 })
	g.refusing.Store(true)
	w.startTarget("t2", respondOK("two"))
	w.store.Remove("test/target/t1")
	rt := catchAllRoute(true)
	rt.Prefix = "/new/"
	w.writeConfig(2, rt)
	w.eventually("the refused VM follows", func() bool { return b.configVersion() == 2 })
	res, body := doRequest(t, b, http.MethodGet, "/new/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "two")
}

// Symptom: changes are missed after the store has dropped its history.
// Sequence: the store forgets its history while changes are made.
// Cause: a watch that was refused was simply repeated.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	s := w.startListed("vm-1")
	w.store.SetDown(true)
	w.eventually("the store is lost", func() bool { return s.storeUnreachable.Load() })
	w.writeConfig(2, catchAllRoute(true))
	w.store.Compact()
	w.store.SetDown(false)
	w.eventually("the change is in force", func() bool { return s.configVersion() == 2 })
}

// Symptom: callers are not sent to a VM that serves.
// Sequence: the store takes the VM's key away, and no call shows it.
// Cause: the VM renewed its lease and never looked at its key.
func TestRemovedMemberKeyIsRestored(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startListed("vm-1")
	time.Sleep(minRelistInterval) // a key just written is not written again
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
func TestLookupOmitsLeavingVM(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	a, b := w.startListed("vm-1"), w.startListed("vm-2")
	w.eventually("both are named", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 2 })
	is.NoErr(a.Stop())
	w.eventually("one is named", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 1 })
	is.Equal(b.lookup(Lookup{Domain: "d1"})[0], b.settings.Self.CallAddr)
}

// Symptom: a VM that was restarted refuses everything for as long as the store
// is away, although its neighbours serve.
// Sequence: the store goes down, then a VM is restarted.
// Cause: it knew other entry VMs from the store alone, and asked nobody.
func TestRestartWithoutStoreUsesSeeds(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	a := w.startListed("vm-1")
	g := &refusingStore{Store: w.store}
	g.refusing.Store(true)
	b := w.start("vm-2", g, a.settings.Self.PeerAddr)
	w.eventually("it has a configuration", func() bool { return b.configVersion() == 1 && b.hasTargets(1) })
	res, body := doRequest(t, b, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "one")
}

// Symptom: requests go on to a target for which nobody vouches any more.
// Sequence: another writer puts bytes that can't be read over its registration;
// later the target writes its own again.
// Cause: what can't be decoded changed nothing, also where a target is named.
func TestInvalidRegistrationRemovesTarget(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	s := w.startListed("vm-1")
	status := func(id string) int {
		res, _ := doRequest(t, s, http.MethodGet, "/x", id)
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
func TestOutdatedFirstCopyCatchesUp(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	w.store.FreezeReplica()
	w.startTarget("t2", respondOK("two"))
	w.store.Remove("test/target/t1")
	w.writeConfig(2, catchAllRoute(true))
	s := w.startListed("vm-1")
	w.eventually("it is up to date", func() bool { return s.configVersion() == 2 && s.hasTargets(1) })
	res, body := doRequest(t, s, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "two")
}

// Symptom: changes are missed for good after a start.
// Sequence: the replica that answers the first read is behind, and the store has
// dropped the history since.
// Cause: a copy from such a replica can't follow a watch, and was read again from
// the same replica.
func TestCompactedFirstCopyIsReadAgain(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	w.store.FreezeReplica()
	w.writeConfig(2, catchAllRoute(true))
	w.store.Compact()
	s := w.start("vm-1", w.store)
	w.eventually("it is up to date", func() bool { return s.configVersion() == 2 && s.hasTargets(1) })
}

// Symptom: at the first start of a fleet, which has no configuration for seconds,
// every VM reads the store by itself.
// Sequence: VMs start before the operators' first configuration.
// Cause: VMs were listed once they had a configuration, and knew no readers
// until then.
func TestVMIsListedBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := &testEnv{t: t, store: kvtest.New(), log: io.Discard}
	s := w.start("vm-1", w.store)
	w.eventually("it is listed", func() bool {
		_, listed := w.store.Get(prefixMembers + "vm-1")
		return listed
	})
	is.True(!s.acceptsRequests())
}

// Pattern: the store turns a third of 295 VMs away for nine seconds. A call each
// 0.4 s from the two loops of each VM would be 4,400 calls, all of them refused.
func TestStoreBackoffLimitsCalls(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	next, reset := w.startListed("vm-1").storeBackoff()
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
