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

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/serve/kv"
)

// watched is a store that counts the watches of one entry VM.
type watched struct {
	kv.Store
	watches atomic.Int64
}

func (w *watched) Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (kv.Changes, error) {
	w.watches.Add(1)
	return w.Store.Watch(ctx, prefix, after, wait)
}

// region starts n entry VMs that know each other.
func region(w *world, n int) ([]*Server, []*watched) {
	var servers []*Server
	var stores []*watched
	for i := range n {
		st := &watched{Store: w.store}
		stores = append(stores, st)
		servers = append(servers, w.entryWith(fmt.Sprint("vm-", i), st))
	}
	w.eventually("they know each other", func() bool {
		for _, s := range servers {
			if len(*s.members.Load()) != n {
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
		var c reader.Choice
		if _, follows := c.From(s.now(), s.set.Self, *s.members.Load()); follows {
			list = append(list, i)
		}
	}
	return list
}

// quiet waits for a time of more than one watch in which no follower watches.
func (w *world) quiet(stores []*watched, followers []int) {
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
		if time.Since(since) > watchWait+time.Second {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("followers go on watching the store")
}

// Pattern: nine entry VMs in a region, at rest and with a change now and then.
//
// Symptom: the store is called half a time a second for each VM of a fleet, to
// say that nothing has changed.
// Sequence: each VM watches the store.
// Cause: as many watches as VMs. Three read, and the others ask them.
func TestMostVMsOfALargeRegionDoNotWatch(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, plain(true))
	w.target("t1", ok("one"))
	servers, stores := region(w, 9)
	followers := followersOf(servers)
	is.Equal(len(followers), 6)
	// Watches that wait have to end first, and on a busy machine a follower may
	// read by itself for a while.
	w.quiet(stores, followers)
	w.target("t2", ok("two"))
	w.store.Remove("test/target/t1")
	rt := plain(true)
	rt.Prefix = "/new/"
	w.configure(2, rt)
	for _, s := range servers {
		w.eventually("the change is in force", func() bool { return s.version() == 2 })
	}
	for _, i := range followers {
		w.eventually("the target that left is not used", func() bool {
			res, body := ask(t, servers[i], http.MethodGet, "/new/x", fmt.Sprint("id-", i))
			return res.StatusCode == http.StatusOK && body == "two"
		})
	}
}

// Symptom: VMs go on with an old configuration.
// Sequence: all VMs that read the store in a large region end without a word.
// Cause: the others wait for them.
func TestFollowersOutliveTheirReaders(t *testing.T) {
	w := newWorld(t, plain(true))
	servers, _ := region(w, 8)
	var left []*Server
	followers := followersOf(servers)
	for i, s := range servers {
		if slices.Contains(followers, i) {
			left = append(left, s)
			continue
		}
		s.end() // the key of its lease stays for seconds
	}
	if len(left) != 5 {
		t.Fatalf("%d VMs follow", len(left))
	}
	w.configure(2, plain(true))
	for _, s := range left {
		w.eventually("the change is in force", func() bool { return s.version() == 2 })
	}
}
