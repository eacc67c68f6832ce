package ingress

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/serve/kv"
)

// watchCounter counts the watches of one entry VM.
type watchCounter struct {
	kv.Store
	watches atomic.Int64
}

func (w *watchCounter) Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (kv.Changes, error) {
	w.watches.Add(1)
	return w.Store.Watch(ctx, prefix, after, wait)
}

// startRegion starts n entry VMs and waits until they know each other.
func startRegion(w *testEnv, n int) ([]*Server, []*watchCounter) {
	var servers []*Server
	var stores []*watchCounter
	for i := range n {
		st := &watchCounter{Store: w.store.NewClient()}
		stores = append(stores, st)
		servers = append(servers, w.startListedWith(fmt.Sprint("vm-", i), st))
	}
	w.eventually("they know each other", func() bool {
		for _, s := range servers {
			if len(s.members.Load().vms) != n {
				return false
			}
		}
		return true
	})
	return servers, stores
}

// followersOf returns the indices of the VMs that follow another one.
func followersOf(servers []*Server) (list []int) {
	for i, s := range servers {
		var c reader.Selector
		if _, follows := c.Source(s.now(), s.settings.Self, s.members.Load().vms); follows {
			list = append(list, i)
		}
	}
	return list
}

// waitIdle waits until no follower has started a watch for longer than a watch
// takes.
func (w *testEnv) waitIdle(stores []*watchCounter, followers []int) {
	count := func() (n int64) {
		for _, i := range followers {
			n += stores[i].watches.Load()
		}
		return n
	}
	since, last := time.Now(), count()
	for range 600 {
		if n := count(); n != last {
			since, last = time.Now(), n
		}
		if time.Since(since) > watchTimeout+time.Second {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("followers still watch the store")
}

// Guards against one watch per VM: each VM of an idle fleet would call the store
// every two seconds to learn that nothing has changed. In a region of nine entry
// VMs three read the store, and the others poll them and still get each change.
func TestFollowersDoNotWatchStore(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	servers, stores := startRegion(w, 9)
	followers := followersOf(servers)
	is.Equal(len(followers), 6)
	// Watches in progress have to end first, and on a busy machine a follower may
	// read the store itself for a while.
	w.waitIdle(stores, followers)
	w.startTarget("t2", respondOK("two"))
	w.store.Remove("test/target/t1")
	rt := catchAllRoute(true)
	rt.Prefix = "/new/"
	w.writeConfig(2, rt)
	for _, s := range servers {
		w.eventually("the change is in force", func() bool { return s.configVersion() == 2 })
	}
	for _, i := range followers {
		w.eventually("the removed target is not used", func() bool {
			res, body := doRequest(t, servers[i], http.MethodGet, "/new/x", fmt.Sprint("id-", i))
			return res.StatusCode == http.StatusOK && body == "two"
		})
	}
}

// Guards against VMs that keep an old configuration: all readers of a large
// region crash, and the followers wait for them.
func TestFollowersSurviveLossOfReaders(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	servers, _ := startRegion(w, 8)
	var left []*Server
	followers := followersOf(servers)
	for i, s := range servers {
		if slices.Contains(followers, i) {
			left = append(left, s)
			continue
		}
		s.shutdown() // its key stays for seconds, until the lease ends
	}
	if len(left) != 5 {
		t.Fatalf("%d VMs are followers, not 5", len(left))
	}
	w.writeConfig(2, catchAllRoute(true))
	for _, s := range left {
		w.eventually("the change is in force", func() bool { return s.configVersion() == 2 })
	}
}

// Guards against a fleet of 295 VMs that serves only seconds after its restart:
// if every VM reads everything, the store's link transfers 224 MB, and VMs
// without callers read as much as those with callers. VMs that start as
// followers have to fetch their first copies from the readers.
func TestFollowersFetchFirstCopyFromReaders(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	servers, _ := startRegion(w, 8)
	late := servers[0].settings.Self
	for n := 0; ; n++ {
		late.ID = fleet.VMID(fmt.Sprint("late-", n))
		var c reader.Selector
		if _, follows := c.Source(1, late, append(slices.Clone(servers[0].members.Load().vms), late)); follows {
			break
		}
	}
	full := &fullReadCounter{Store: w.store.NewClient()}
	w.startListedWith(string(late.ID), full)
	is.Equal(full.reads.Load(), int64(0))
}

// Guards against followers that read the store after a restart of a whole
// region: they send requests to readers that have no copy yet, and a request
// that cannot be answered at once is dropped.
func TestCopyRequestBeforeFirstCopyIsAnswered(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	g := &refusingStore{Store: w.store.NewClient()}
	g.refusing.Store(true)
	from := w.start("vm-1", g)
	asker := w.start("vm-2", g)
	answered := make(chan bool)
	go func() {
		_, ok := asker.requestReaderUpdate(from.settings.Self, time.Minute)
		answered <- ok
	}()
	w.eventually("the request has arrived", func() bool {
		from.copyMu.Lock()
		defer from.copyMu.Unlock()
		return len(from.awaiting) > 0
	})
	g.refusing.Store(false)
	is.True(<-answered)
	is.True(asker.copyValid())
}

// A VM that the store refuses has a copy from before the history that its
// neighbours keep, so the removals since then are unknown. It has to get a full
// copy.
func TestOutdatedCopyIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	w.startTarget("t1", respondOK("one"))
	from := w.startListed("vm-1")
	g := &refusingStore{Store: w.store.NewClient()}
	g.refusing.Store(true)
	asker := w.start("vm-2", g)
	asker.copyMu.Lock()
	asker.copy = mirror.Mirror{}
	_, replaced := asker.copy.Replace(asker.now(), mirror.State{Items: []mirror.Item{{Key: "gone", Revision: 1}}, At: mirror.Position{Revision: 1}})
	asker.copyMu.Unlock()
	is.True(replaced)
	_, answered := asker.requestReaderUpdate(from.settings.Self, time.Minute)
	is.True(answered)
	is.True(asker.copyAt().Compare(from.copyAt()) >= 0)
	asker.copyMu.Lock()
	defer asker.copyMu.Unlock()
	_, found := asker.copy.Get("gone")
	is.True(!found)
}

// fullReadCounter counts the reads of all keys.
type fullReadCounter struct {
	kv.Store
	reads atomic.Int64
}

func (f *fullReadCounter) Range(ctx context.Context, prefix string, from kv.Replica) (kv.Snapshot, error) {
	if prefix == allKeys {
		f.reads.Add(1)
	}
	return f.Store.Range(ctx, prefix, from)
}

// Guards against a VM that the store refuses and that never gets a copy in a
// large fleet: its neighbours' copy exceeds the maximum size of a message, and a
// message that is too large is dropped.
func TestRelayAssemblesPages(t *testing.T) {
	is := is.New(t)
	r := relay{AsOf: 7, Full: true}
	for i := range 3000 {
		r.Changes = append(r.Changes, mirror.Change{Item: mirror.Item{Key: fmt.Sprint("k", i), Value: make([]byte, 600), Revision: 5}})
	}
	pages := r.split()
	is.True(len(pages) > 5)
	var p relayAssembler
	for _, page := range pages[:len(pages)-1] {
		_, complete := p.add("vm-1", page)
		is.True(!complete)
	}
	got, complete := p.add("vm-1", pages[len(pages)-1])
	is.True(complete)
	is.Equal(len(got.Changes), 3000)
	// A relay with a missing page or with a page of another copy is dropped.
	for _, broken := range [][]*relay{{pages[0], pages[2]}, {pages[1]}, {pages[0], {AsOf: 8, Page: 1}}} {
		for _, page := range broken {
			_, complete := p.add("vm-2", page)
			is.True(!complete)
		}
	}
	one := &relay{AsOf: 7}
	got, complete = p.add("vm-2", one)
	is.True(complete)
	is.Equal(got, one)
}
