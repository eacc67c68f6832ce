package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	api "github.com/azurethread/azurethread/serve/platform"
)

// firstIndex is the index reported for a key that was never written. The
// published API never reports 0, because a query with index 0 doesn't block.
const firstIndex = 1

// lease is a lease, called a session in the published API.
type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// data is the content of the service. It is not safe for concurrent use, and
// its methods get the time from the caller.
type data struct {
	index         uint64 // of the latest change
	entries       map[string]api.Entry
	deleted       map[string]uint64 // index of the deletion, by deleted key
	leases        map[api.LeaseID]lease
	leasesGranted uint64 // total number, used for lease IDs
}

func newData() data {
	return data{
		index:   firstIndex,
		entries: map[string]api.Entry{},
		deleted: map[string]uint64{},
		leases:  map[api.LeaseID]lease{},
	}
}

func (d *data) clone() data {
	c := *d
	c.entries = maps.Clone(d.entries)
	c.deleted = maps.Clone(d.deleted)
	c.leases = maps.Clone(d.leases)
	return c
}

// get returns the entry of key. If there is none, it returns false and an entry
// with the index after which to wait for a change.
func (d *data) get(key string) (api.Entry, bool) {
	if e, ok := d.entries[key]; ok {
		e.Value = slices.Clone(e.Value)
		return e, true
	}
	return api.Entry{Key: key, Index: max(firstIndex, d.deleted[key])}, false
}

func (d *data) list(prefix string) []api.Entry {
	var es []api.Entry
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		e, _ := d.get(key)
		es = append(es, e)
	}
	return es
}

func (d *data) put(key string, value []byte, id api.LeaseID) uint64 {
	d.index++
	delete(d.deleted, key)
	d.entries[key] = api.Entry{Key: key, Value: slices.Clone(value), Index: d.index, Lease: id}
	return d.index
}

// compareAndSwap returns the new index, or 0 if the entry has another index.
func (d *data) compareAndSwap(key string, value []byte, index uint64) uint64 {
	e, ok := d.entries[key]
	if ok != (index != 0) || (ok && e.Index != index) {
		return 0
	}
	return d.put(key, value, e.Lease)
}

// remove reports false if the entry has another index. Index 0 removes the
// entry unconditionally.
func (d *data) remove(key string, index uint64) bool {
	e, ok := d.entries[key]
	if !ok {
		return true
	}
	if index != 0 && e.Index != index {
		return false
	}
	d.index++
	delete(d.entries, key)
	d.deleted[key] = d.index
	return true
}

func (d *data) grant(ttl time.Duration, now time.Time) api.LeaseID {
	d.leasesGranted++
	id := api.LeaseID(fmt.Sprintf("lease-%d", d.leasesGranted))
	d.leases[id] = lease{ttl: ttl, deadline: now.Add(ttl)}
	return id
}

func (d *data) renew(id api.LeaseID, now time.Time) bool {
	l, ok := d.leases[id]
	if !ok {
		return false
	}
	l.deadline = now.Add(l.ttl)
	d.leases[id] = l
	return true
}

// revoke ends a lease. The entries that it held stay, without a lease.
func (d *data) revoke(id api.LeaseID) {
	if _, ok := d.leases[id]; !ok {
		return
	}
	delete(d.leases, id)
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[key]; e.Lease == id {
			d.put(key, e.Value, "")
		}
	}
}

// expire revokes the expired leases and reports whether there were any.
func (d *data) expire(now time.Time) bool {
	var expired []api.LeaseID
	for id, l := range d.leases {
		if !now.Before(l.deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		d.revoke(id)
	}
	return len(expired) > 0
}

// acquire returns the new index, or 0 if another lease holds the key.
func (d *data) acquire(key string, value []byte, id api.LeaseID) (uint64, error) {
	if _, ok := d.leases[id]; !ok {
		return 0, api.ErrLeaseLost
	}
	if e := d.entries[key]; e.Lease != "" && e.Lease != id {
		return 0, nil
	}
	return d.put(key, value, id), nil
}
