package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/serve/kv"
	"github.com/azurethread/azurethread/serve/kv/kvtest"
)

// applyTime is how long operators allow until a change in the store is in force, and
// drainTime how long a leaving target still gets requests.
const (
	applyTime = 2500 * time.Millisecond
	drainTime = 2500 * time.Millisecond
)

// returnEnv is a store that comes back from a copy, with entry VMs that each have a client
// of their own.
type returnEnv struct {
	*testEnv
	vms     []*Server
	clients []*kvtest.Client
	version uint64 // of the configuration
}

// newReturnEnv starts n entry VMs with some targets.
func newReturnEnv(t *testing.T, n int) *returnEnv {
	t.Parallel() // they mostly wait
	w := &returnEnv{testEnv: newTestEnv(t, catchAllRoute(true)), version: 1}
	w.startTarget("whole", respondOK("whole"))
	for i := range n {
		c := w.store.NewClient()
		w.clients = append(w.clients, c)
		w.vms = append(w.vms, w.startListedWith(fmt.Sprint("vm-", i), c))
	}
	w.waitMembers(n)
	return w
}

// waitMembers waits until all VMs know n.
func (w *returnEnv) waitMembers(n int) {
	w.t.Helper()
	for _, s := range w.vms {
		w.eventually("the entry VMs know each other", func() bool { return len(s.members.Load().vms) == n })
	}
}

// configure writes a further version, which also serves a route of its own, and
// returns the path of that route.
func (w *returnEnv) configure() (path string) {
	w.version++
	path = fmt.Sprintf("/v%d/", w.version)
	rt := catchAllRoute(true)
	rt.Name, rt.Prefix = path, path
	w.writeConfig(w.version, catchAllRoute(true), rt)
	return path
}

// waitVersion waits until a version is in force at all VMs, as long as operators allow.
func (w *returnEnv) waitVersion(version uint64) {
	w.t.Helper()
	limit := time.Now().Add(applyTime)
	for _, s := range w.vms {
		for s.configVersion() != version {
			if time.Now().After(limit) {
				w.t.Fatalf("%s has version %d, not %d, after %v", s.settings.Self.ID, s.configVersion(), version, applyTime)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// returnFromCopy takes the store away for a moment and brings it back from its copy.
func (w *returnEnv) returnFromCopy() (lost []mirror.Change) {
	w.store.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	lost = w.store.ReturnFromCopy()
	w.store.SetDown(false)
	return lost
}

// writeAgain makes the lost changes again that operators and targets had made.
func (w *returnEnv) writeAgain(lost []mirror.Change) {
	for _, c := range lost {
		if strings.HasPrefix(c.Key, "test/") {
			w.store.WriteAgain(c)
		}
	}
}

// drain marks a target as leaving.
func (w *returnEnv) drain(id string) {
	key := "test/target/" + id
	value, ok := w.store.Get(key)
	if !ok {
		w.t.Fatalf("%s is not registered", id)
	}
	var d ingress.Target
	if err := json.Unmarshal([]byte(value), &d); err != nil {
		w.t.Fatal(err)
	}
	d.Draining = true
	b, err := json.Marshal(d)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(key, string(b))
}

// startCounted registers a target that counts its requests.
func (w *returnEnv) startCounted(d fleet.Domain, id string) *atomic.Int64 {
	requests := new(atomic.Int64)
	w.startTargetIn(d, id, func(rw http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		respondOK(id)(rw, r)
	})
	return requests
}

// load sends requests to all VMs for d, and returns how many were not served.
func (w *returnEnv) load(t *testing.T, d time.Duration) (failed int) {
	t.Helper()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		for i, s := range w.vms {
			res, _ := doRequest(t, s, http.MethodGet, fmt.Sprintf("/o%d", n%20), fmt.Sprintf("r-%d-%d", i, n))
			if res.StatusCode != http.StatusOK {
				failed++
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return failed
}

// waitUsed waits until a target gets requests.
func (w *returnEnv) waitUsed(t *testing.T, requests *atomic.Int64) {
	t.Helper()
	w.eventually("the target is used", func() bool {
		w.load(t, 10*time.Millisecond)
		return requests.Load() > 0
	})
}

// Guards against entry VMs that no longer see what operators write: the store has come
// back from a copy, its revisions are lower than theirs, and every read counts as old.
func TestReturnOfTheStoreHidesNoConfiguration(t *testing.T) {
	w := newReturnEnv(t, 3)
	w.store.SaveCopy()
	w.configure()
	w.store.Grow(20)
	w.waitVersion(2)
	lost := w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.writeAgain(lost)
	path := w.configure()
	w.waitVersion(3)
	for i, s := range w.vms {
		res, _ := doRequest(t, s, http.MethodGet, path+"x", fmt.Sprint("id-", i))
		is.New(t).Equal(res.StatusCode, http.StatusOK)
	}
}

// Guards against entry VMs of a large region that follow readers and learn of the store's
// return from a copy late or not at all.
func TestFollowersLearnOfAReturn(t *testing.T) {
	w := newReturnEnv(t, 8)
	w.waitMembers(8)
	w.store.SaveCopy()
	w.configure()
	w.store.Grow(20)
	w.waitVersion(2)
	lost := w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.writeAgain(lost)
	w.configure()
	w.waitVersion(3)
}

// Guards against requests to targets that have said that they leave: they said so after
// the store's return from a copy, at a revision that the entry VMs had passed before.
func TestReturnOfTheStoreHidesNoLeavingTarget(t *testing.T) {
	w := newReturnEnv(t, 3)
	requests := w.startCounted("d1", "leaves")
	w.waitUsed(t, requests)
	w.store.SaveCopy()
	w.store.Grow(20)
	time.Sleep(watchPause * 2)
	w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.drain("leaves")
	w.load(t, drainTime)
	before := requests.Load()
	w.load(t, time.Second)
	is.New(t).Equal(requests.Load(), before)
}

// Guards against changes that are never seen: the revisions given out since the store's
// return from a copy have reached those of an entry VM before it reads again, and its
// watch goes on in the middle of another history.
func TestRevisionsThatOvertakeAReturnHideNothing(t *testing.T) {
	w := newReturnEnv(t, 3)
	requests := w.startCounted("d1", "leaves")
	w.waitUsed(t, requests)
	w.store.SaveCopy()
	w.store.Grow(5)
	time.Sleep(watchPause * 2)
	for _, c := range w.clients {
		c.Refuse(true)
	}
	w.returnFromCopy()
	w.drain("leaves")
	w.configure()
	w.store.Grow(20)
	for _, c := range w.clients {
		c.Refuse(false)
	}
	w.load(t, drainTime)
	before := requests.Load()
	w.load(t, time.Second)
	is := is.New(t)
	is.Equal(requests.Load(), before)
	for _, s := range w.vms {
		is.Equal(s.configVersion(), w.version)
	}
}

// Guards against a target that had said that it leaves and is used again, as the store's
// copy is from before its word.
func TestLeavingTargetsStayUnusedAfterAReturn(t *testing.T) {
	w := newReturnEnv(t, 3)
	requests := w.startCounted("d1", "leaves")
	w.waitUsed(t, requests)
	w.store.SaveCopy()
	w.drain("leaves")
	w.load(t, drainTime)
	w.store.Grow(20)
	before := requests.Load()
	lost := w.returnFromCopy()
	w.load(t, 1200*time.Millisecond)
	w.writeAgain(lost)
	w.configure()
	w.waitVersion(w.version)
	w.load(t, 500*time.Millisecond)
	is.New(t).Equal(requests.Load(), before)
}

// Guards against a target that was gone and is used again, as the store's copy still has
// its registration: only a registration written since the return counts.
func TestGoneTargetsStayUnusedAfterAReturn(t *testing.T) {
	is := is.New(t)
	w := newReturnEnv(t, 3)
	requests := w.startCounted("d1", "gone")
	w.waitUsed(t, requests)
	registration, _ := w.store.Get("test/target/gone")
	w.store.SaveCopy()
	w.store.Remove("test/target/gone")
	w.load(t, drainTime)
	before := requests.Load()
	w.returnFromCopy()
	w.load(t, 1200*time.Millisecond)
	w.configure()
	w.waitVersion(w.version)
	w.load(t, 500*time.Millisecond)
	is.Equal(requests.Load(), before)
	w.store.Put("test/target/gone", registration)
	w.waitUsed(t, requests)
}

// Guards against targets that are dropped because the store's copy is from before their
// registration: they register again within seconds.
func TestMissingRegistrationsAreHeldAfterAReturn(t *testing.T) {
	w := newReturnEnv(t, 3)

	w.store.SaveCopy()
	w.startCounted("d1", "new")
	for _, s := range w.vms {
		w.eventually("the new target is known", func() bool { return s.hasTargets(2) })
	}
	w.store.Remove("test/target/whole")
	for _, s := range w.vms {
		w.eventually("the other target is gone", func() bool { return s.hasTargets(1) })
	}
	w.returnFromCopy()
	w.load(t, 1200*time.Millisecond)
	for _, s := range w.vms {
		if !s.hasTargets(1) {
			t.Fatal("the target has not been held")
		}
	}
	w.configure()
	w.waitVersion(w.version)
}

// Guards against a configuration that goes back: an entry VM that starts after the store's
// return from a copy reads the copy only, though others know a later version.
func TestVMsThatStartAfterAReturnServeTheLatestConfiguration(t *testing.T) {
	w := newReturnEnv(t, 2)
	w.store.SaveCopy()
	path := w.configure()
	w.waitVersion(w.version)
	w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.checkLate(t, path)
}

// Guards against an entry VM that starts with what a replica from before the store's return
// from a copy has.
func TestReplicasOfAnEarlierEraAreNotRead(t *testing.T) {
	w := newReturnEnv(t, 2)
	w.store.SaveCopy()
	w.store.FreezeReplica()
	path := w.configure()
	w.waitVersion(w.version)
	w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.checkLate(t, path)
}

// checkLate starts an entry VM, and checks that it serves the latest configuration.
func (w *returnEnv) checkLate(t *testing.T, path string) {
	t.Helper()
	s := w.start("late", w.store.NewClient())
	limit := time.Now().Add(applyTime)
	for s.configVersion() != w.version {
		if time.Now().After(limit) {
			t.Fatalf("it has version %d", s.configVersion())
		}
		time.Sleep(time.Millisecond)
	}
	w.eventually("it has targets", func() bool { return s.hasTargets(1) })
	res, _ := doRequest(t, s, http.MethodGet, path+"x", "id")
	is.New(t).Equal(res.StatusCode, http.StatusOK)
}

// Guards against an entry VM that keeps what it knew before the store's return from a copy:
// the store refuses it, and copies of its neighbours count as old.
func TestRelaysTellOfAReturn(t *testing.T) {
	w := newReturnEnv(t, 3)
	w.store.SaveCopy()
	w.store.Grow(20)
	time.Sleep(watchPause * 2)
	w.clients[0].Refuse(true)
	w.returnFromCopy()
	time.Sleep(200 * time.Millisecond)
	w.configure()
	w.waitVersion(w.version)
}

// Guards against an older version of the configuration in the store: its limits and its
// table were in force although the decisions kept the later version.
func TestEarlierVersionsAreNotInForce(t *testing.T) {
	is := is.New(t)
	w := newReturnEnv(t, 1)
	w.configure()
	path := w.configure()
	w.waitVersion(3)
	w.writeConfig(2, catchAllRoute(true))
	w.startTarget("further", respondOK("ok"))
	w.eventually("what follows is read", func() bool { return w.vms[0].hasTargets(2) })
	is.Equal(w.vms[0].configVersion(), uint64(3))
	is.Equal(w.vms[0].table.Load().Match(testHost, path+"x").Name, path)
}

// Guards against an entry VM that is no longer listed: its lease was lost in the store's
// return from a copy, and it renews another VM's, which got the same id.
func TestLeasesOfAnEarlierEraAreNotRenewed(t *testing.T) {
	w := newReturnEnv(t, 2)
	w.store.SaveCopy()
	late := w.startListedWith("late", w.store.NewClient())
	w.vms = append(w.vms, late)
	w.waitMembers(3)
	w.returnFromCopy()
	for range 3 { // leases of others get the ids that were given out before
		if _, _, err := w.store.Grant(t.Context(), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	limit := time.Now().Add(6 * time.Second)
	for {
		if _, listed := w.store.Get(prefixMembers + "late"); listed {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("it is not listed again")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against two writes of each entry VM of a large fleet, all at once after the store's
// return from a copy, though the copy has their leases.
func TestLeasesThatTheCopyHasAreKept(t *testing.T) {
	is := is.New(t)
	w := newReturnEnv(t, 3)
	w.store.SaveCopy()
	w.store.Grow(20)
	time.Sleep(watchPause * 2)
	before, err := w.store.Range(t.Context(), prefixMembers, kv.Latest)
	is.NoErr(err)
	w.returnFromCopy()
	time.Sleep(2 * maxEraWait)
	after, err := w.store.Range(t.Context(), prefixMembers, kv.Latest)
	is.NoErr(err)
	is.Equal(after.Items, before.Items)
	for i, s := range w.vms {
		is.NoErr(s.Stop(0)) // revokes its lease
		left, err := w.store.Range(t.Context(), prefixMembers, kv.Latest)
		is.NoErr(err)
		is.Equal(len(left.Items), len(w.vms)-i-1)
	}
}

// Guards against look-ups that omit entry VMs which serve: the store has come back from a
// copy from before their registration.
func TestLookupsNameVMsThatAReturnHasLost(t *testing.T) {
	is := is.New(t)
	w := newReturnEnv(t, 2)
	w.store.SaveCopy()
	late := w.startListedWith("late", w.store.NewClient())
	w.vms = append(w.vms, late)
	w.waitMembers(3)
	w.clients = nil
	w.returnFromCopy()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range w.vms {
			is.Equal(len(s.members.Load().vms), 3)
		}
	}
	w.configure()
	w.waitVersion(w.version)
}

// Guards against quarantines that are lost with the store's writes: entry VMs that start
// later would send the request to targets again.
func TestQuarantinesAreWrittenAgainAfterAReturn(t *testing.T) {
	w := newReturnEnv(t, 2)
	w.store.SaveCopy()
	rec := quarantine.Record{
		Fingerprint: quarantine.FingerprintOf(quarantine.Content{Method: http.MethodGet, URI: "/x"}), Route: "r", Since: w.vms[0].now(),
	}
	for n := range quarantine.QuarantineThreshold {
		at := rec.Since.Add(-time.Duration(n) * time.Second)
		rec.Ended = append(rec.Ended, quarantine.End{Start: quarantine.Start{Target: fleet.TargetID(fmt.Sprint("t", n))}, Sent: at - 1, At: at})
	}
	slices.Reverse(rec.Ended)
	value, err := json.Marshal(&rec)
	if err != nil {
		t.Fatal(err)
	}
	key := prefixQuarantine + rec.Fingerprint.String()
	w.store.Put(key, string(value))
	for _, s := range w.vms {
		w.eventually("the request is in quarantine", func() bool { return s.quarantineCount() == 1 })
	}
	w.returnFromCopy()
	limit := time.Now().Add(applyTime)
	for {
		if _, ok := w.store.Get(key); ok {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the quarantine is not in the store")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range w.vms {
		is.New(t).Equal(s.quarantineCount(), 1)
	}
}

// Guards against what an entry VM knows being lost in the second of two returns, of which
// the second goes back to a state before the first configuration.
func TestSeveralReturns(t *testing.T) {
	w := newReturnEnv(t, 3)
	requests := w.startCounted("d1", "leaves")
	w.waitUsed(t, requests)
	w.store.SaveCopy()
	w.configure()
	w.waitVersion(w.version)
	w.drain("leaves")
	w.load(t, drainTime)
	before := requests.Load()
	w.returnFromCopy()
	w.load(t, 700*time.Millisecond)
	w.store.Remove(testConfig)
	w.store.SaveCopy()
	w.configure()
	w.waitVersion(w.version)
	w.store.Grow(20)
	w.returnFromCopy()
	w.load(t, 700*time.Millisecond)
	for _, s := range w.vms {
		is.New(t).Equal(s.configVersion(), w.version)
	}
	w.configure()
	w.waitVersion(w.version)
	w.load(t, 300*time.Millisecond)
	is.New(t).Equal(requests.Load(), before)
}

// Guards against requests to a failure domain that is evacuated, and against a domain that
// is left out although it was taken back: the store's copy is from before the operators'
// word.
func TestEvacuationsAreHeldAfterAReturn(t *testing.T) {
	is := is.New(t)
	w := newReturnEnv(t, 3)
	begun := w.startCounted("far", "begun")
	const beganKey, endedKey = "test/evacuate/far", "test/evacuate/d1"
	w.store.Put(endedKey, "")
	w.waitUsed(t, begun) // no other domain has targets that may be used
	w.store.SaveCopy()
	w.store.Put(beganKey, "")
	w.store.Remove(endedKey)
	w.load(t, applyTime)
	before := begun.Load()
	lost := w.returnFromCopy()
	is.Equal(w.load(t, 1200*time.Millisecond), 0)
	w.writeAgain(lost)
	is.Equal(w.load(t, 500*time.Millisecond), 0)
	is.Equal(begun.Load(), before)
	w.store.Remove(beganKey)
	w.store.Put(endedKey, "")
	w.waitUsed(t, begun)
}
