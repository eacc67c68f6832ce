// Package kv is the interface to a metadata store: keys with revisions,
// conditional writes, leases and watches. The client of the users' store is in
// folder platform; tests use one in memory.
package kv

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
)

// Lease identifies a lease. Keys written under it are removed when it ends. The
// zero value means no lease.
type Lease struct {
	ID uint64
	// Era is that of the store in which the lease is known to exist. The store may give
	// out its id again in a later one.
	Era mirror.Era
}

// Replica states which replica of the store may answer a read.
type Replica uint8

const (
	// Latest makes a read include every write acknowledged before it.
	Latest Replica = iota
	// Any lets a read be seconds behind. Such a read has a tenth of the price
	// and does not count against the limits on calls. A watch from the returned
	// revision brings a copy up to date.
	Any
)

// Snapshot is a full read of a prefix.
type Snapshot struct {
	Items []mirror.Item
	// At is a position of the store. Changes up to it are all included; later
	// ones may be.
	At mirror.Position
}

// Changes is the result of a watch.
type Changes struct {
	Events []mirror.Change
	At     mirror.Position // the position to continue from
}

// Condition holds if the key has the given revision; 0: the key does not exist.
type Condition struct {
	Key      string
	Revision mirror.Revision
}

// Write sets a key, under a lease unless Lease is zero.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is a transaction: it runs as a whole if all its conditions hold, or not
// at all.
type Txn struct {
	Conditions []Condition
	Era        mirror.Era // of the revisions of the conditions
	Writes     []Write
	Remove     []string
}

// CheckEra returns an error if t relies on an era before the given one.
func (t *Txn) CheckEra(era mirror.Era) error {
	if len(t.Conditions) > 0 && t.Era < era {
		return ErrConflict
	}
	for _, w := range t.Writes {
		if w.Lease != (Lease{}) && w.Lease.Era < era {
			return ErrLeaseLost
		}
	}
	return nil
}

var (
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = errors.New("kv: history is no longer available")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("kv: condition does not hold")
	// ErrLeaseLost means that the lease has ended.
	ErrLeaseLost = errors.New("kv: lease has ended")
	// ErrTooManyChanges means that the changes after a position take longer to read than
	// all keys do.
	ErrTooManyChanges = errors.New("kv: too many changes")
	// ErrNoAnswer means that the answer to a call did not come in time, or not to its end.
	ErrNoAnswer = errors.New("kv: no whole answer in time")
	// ErrEra means that the store has come back from a copy of an earlier state since the
	// era on which the call relied.
	ErrEra = errors.New("kv: store has come back from a copy")
)

// Store is the metadata store. Errors other than those of this package are
// *verdict.Error, which states whether a failed write may have run.
//
// The store may come back from a copy of an earlier state at any time, which begins a new
// era. Revisions and leases of an earlier era mean nothing then: calls that rely on them
// are not made once the new era is known, and fail if the answer tells of it.
type Store interface {
	// Era returns the latest era of the store in any of its answers, refusals included.
	Era() mirror.Era
	// Range reads all items below prefix. It fails with ErrEra if its pages are of
	// several eras.
	Range(ctx context.Context, prefix string, from Replica) (Snapshot, error)
	// Watch returns as soon as there is a change below prefix after the given
	// position, or without events once wait has passed. Of several values of a key it may
	// return the latest only. It fails with ErrEra if the store is in another era, and
	// with ErrTooManyChanges if the caller must read all keys instead. A *verdict.Error wraps
	// ErrNoAnswer if the answer may be too large for the store or the path to it: the same
	// call may fail again.
	Watch(ctx context.Context, prefix string, after mirror.Position, wait time.Duration) (Changes, error)
	// Commit runs t and returns the store's position. If a condition or a lease is of an
	// earlier era, it fails: with ErrConflict or ErrLeaseLost if nothing was written,
	// with ErrEra if t has run.
	Commit(ctx context.Context, t Txn) (mirror.Position, error)
	// Grant creates a lease that ends ttl after its last renewal. It returns
	// the time to live that the store has actually granted.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew restarts the lease's time to live. It fails with ErrEra if the store is in
	// another era, where the lease may be another VM's.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends the lease. One of an earlier era is left alone.
	Revoke(ctx context.Context, l Lease) error
}
