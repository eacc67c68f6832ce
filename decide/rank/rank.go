// Package rank orders entry VMs by rendezvous hashing and derives
// dissemination trees from such orders.
//
// All entry VMs with the same membership compute the same order, so tasks can
// be assigned without an election. Different salts give independent orders.
// When a VM is lost, the others keep their relative order.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Score hashes a salt and a name. The zero byte between them keeps "ab","c" and
// "a","bc" apart.
func Score(salt, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// By returns items by descending score of their names. Each name is hashed
// once.
func By[T any](salt string, items []T, name func(T) string) []T {
	type scored struct {
		item  T
		name  string
		score uint64
	}
	list := make([]scored, len(items))
	for i, it := range items {
		n := name(it)
		list[i] = scored{item: it, name: n, score: Score(salt, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]T, len(list))
	for i := range list {
		out[i] = list[i].item
	}
	return out
}

// Order returns ids by descending score.
func Order(salt string, ids []fleet.VMID) []fleet.VMID {
	return By(salt, ids, func(id fleet.VMID) string { return string(id) })
}

// Children returns the children of self in a tree that is filled level by
// level in the given order, with fanOut children per VM; order[0] is the root.
// It returns nil if self isn't in order.
func Children(order []fleet.VMID, self fleet.VMID, fanOut int) []fleet.VMID {
	at := slices.Index(order, self)
	if at < 0 {
		return nil
	}
	first := min(fanOut*at+1, len(order))
	return order[first:min(first+fanOut, len(order))]
}
