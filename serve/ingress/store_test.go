package ingress

import (
	"context"
	"fmt"
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

// refusingStore is a store that can refuse the reads of one entry VM.
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

func (g *refusingStore) Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (kv.Changes, error) {
	c, err := g.Store.Watch(ctx, prefix, after, wait)
	if g.refusing.Load() {
		return kv.Changes{}, g.refusal()
	}
	return c, err
}

// Guards against an entry VM that serves an old configuration and sends to
// removed targets while the store refuses it: the store refuses one VM and
// serves the others, an operator changes the configuration, and a target leaves.
func TestNeighboursRelayStoreChanges(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	g := &refusingStore{Store: w.store.NewClient()}
	a := w.startListed("vm-1")
	b := w.startListedWith("vm-2", g)
	w.eventually("they know each other", func() bool { return len(b.members.Load().vms) == 2 && len(a.members.Load().vms) == 2 })
	g.refusing.Store(true)
	w.startTarget("t2", respondOK("two"))
	w.store.Remove("test/target/t1")
	rt := catchAllRoute(true)
	rt.Prefix = "/new/"
	w.writeConfig(2, rt)
	w.eventually("the refused VM has the new configuration", func() bool { return b.configVersion() == 2 })
	res, body := doRequest(t, b, http.MethodGet, "/new/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "two")
}

// Guards against missed changes: the store drops its history while changes are
// made, and a watch that was refused for this is only repeated.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	s := w.startListed("vm-1")
	w.store.SetDown(true)
	w.eventually("the store is unreachable", func() bool { return s.storeUnreachable.Load() })
	w.writeConfig(2, catchAllRoute(true))
	w.store.Compact()
	w.store.SetDown(false)
	w.eventually("the change is in force", func() bool { return s.configVersion() == 2 })
}

// laggingStore is a store of which an entry VM cannot read the changes, or nothing.
type laggingStore struct {
	refusingStore
	lagging atomic.Bool
	err     error // of a watch that cannot be read
}

func (g *laggingStore) Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (kv.Changes, error) {
	c, err := g.refusingStore.Store.Watch(ctx, prefix, after, wait)
	if g.lagging.Load() && len(c.Events) > 0 {
		return kv.Changes{}, g.err
	}
	return c, err
}

// Guards against a VM that stays at an old configuration: there are more changes than it can
// read, and it only asks for them again. While it cannot read the keys either, it says so.
func TestTooManyChangesAreReadAsKeys(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	g := &laggingStore{refusingStore: refusingStore{Store: w.store.NewClient()}, err: kv.ErrTooManyChanges}
	s := w.startListedWith("vm-1", g)
	g.lagging.Store(true)
	w.writeConfig(2, catchAllRoute(true))
	w.eventually("the change is in force", func() bool { return s.configVersion() == 2 })
	is.True(s.metrics.fullReads.Get("too-many-changes") != nil)
	w.eventually("nothing is behind", func() bool { return s.behindFor() == 0 })
	is.True(!s.storeUnreachable.Load())

	g.refusing.Store(true)
	w.writeConfig(3, catchAllRoute(true))
	w.eventually("it is behind", func() bool { return s.behindFor() > 0 })
	g.refusing.Store(false)
	w.eventually("the next change is in force", func() bool { return s.configVersion() == 3 })
	w.eventually("nothing is behind any more", func() bool { return s.behindFor() == 0 })
}

// Guards against a VM that stays at an old configuration: the store does not bring the changes
// in time, and the VM only asks for them again.
func TestUnansweredWatchIsReadAsKeys(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	g := &laggingStore{refusingStore: refusingStore{Store: w.store.NewClient()}, err: fmt.Errorf("watch: %w", kv.ErrNoAnswer)}
	s := w.startListedWith("vm-1", g)
	g.lagging.Store(true)
	for version := uint64(2); version <= 3; version++ {
		w.writeConfig(version, catchAllRoute(true))
		w.eventually("the change is in force", func() bool { return s.configVersion() == version })
	}
	is.True(s.metrics.fullReads.Get("no-answer") != nil)
}

// Guards against a serving VM that look-ups omit: the store deletes the VM's
// key, no call of the VM fails, and the VM renews its lease without checking the
// key.
func TestRemovedMemberKeyIsRestored(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startListed("vm-1")
	time.Sleep(minRelistInterval) // a key just written is not written again
	w.store.Remove(prefixMembers + "vm-1")
	w.eventually("the key is restored", func() bool {
		_, listed := w.store.Get(prefixMembers + "vm-1")
		return listed
	})
}

// Guards against look-ups that return a leaving VM until its lease ends: its key
// has to be removed at a planned stop.
func TestLookupOmitsLeavingVM(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	a, b := w.startListed("vm-1"), w.startListed("vm-2")
	w.eventually("the look-up returns both", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 2 })
	is.NoErr(a.Stop(0))
	w.eventually("the look-up returns one", func() bool { return len(b.lookup(Lookup{Domain: "d1"})) == 1 })
	is.Equal(b.lookup(Lookup{Domain: "d1"})[0], b.settings.Self.CallAddr)
}

// Guards against a restarted VM that refuses all requests while the store is
// down, although its neighbours serve: it knows other entry VMs only from the
// store.
func TestRestartWithoutStoreUsesSeeds(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	a := w.startListed("vm-1")
	g := &refusingStore{Store: w.store.NewClient()}
	g.refusing.Store(true)
	b := w.start("vm-2", g, a.settings.Self.PeerAddr)
	w.eventually("it has a configuration", func() bool { return b.configVersion() == 1 && b.hasTargets(1) })
	res, body := doRequest(t, b, http.MethodGet, "/x", "id-1")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "one")
}

// Guards against sending requests to a target whose registration was overwritten
// with invalid bytes by another program: a value that cannot be decoded changes
// nothing. When the target writes its registration again, it has to be used
// again.
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

// Guards against a VM that starts with an old configuration and removed targets:
// the replica that answers its first read is outdated, and the first copy is
// taken for the current state of the store.
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

// Guards against missing all changes after a start: the replica that answers the
// first read is outdated, the store has dropped the history since then, and the
// copy, which cannot follow a watch, is read again from the same replica.
func TestCompactedFirstCopyIsReadAgain(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	w.store.FreezeReplica()
	w.writeConfig(2, catchAllRoute(true))
	w.store.Compact()
	s := w.start("vm-1", w.store.NewClient())
	w.eventually("it is up to date", func() bool { return s.configVersion() == 2 && s.hasTargets(1) })
}

// Guards against every VM reading the store at the first start of a fleet, which
// has no configuration for seconds: VMs that are listed only when they have a
// configuration know no readers before that.
func TestVMIsListedBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := &testEnv{t: t, store: kvtest.New(), log: io.Discard}
	s := w.start("vm-1", w.store.NewClient())
	w.eventually("it is listed", func() bool {
		_, listed := w.store.Get(prefixMembers + "vm-1")
		return listed
	})
	is.True(!s.acceptsRequests())
}

// Guards against too many calls to a failing store. While it refuses a third of
// 295 VMs for nine seconds, a call every 0.4 s from the two loops of each VM
// would add up to 4,400 refused calls.
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
