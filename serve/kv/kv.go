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
type Lease uint64

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
	// AsOf is a revision of the store. Changes up to it are all included; later
	// ones may be.
	AsOf mirror.Revision
}

// Changes is the result of a watch.
type Changes struct {
	Events []mirror.Change
	AsOf   mirror.Revision // the revision to continue from
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
	Writes     []Write
	Remove     []string
}

var (
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = errors.New("kv: history is no longer available")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("kv: condition does not hold")
	// ErrLeaseLost means that the lease has ended.
	ErrLeaseLost = errors.New("kv: lease has ended")
)

// Store is the metadata store. Errors other than those of this package are
// *verdict.Error, which states whether a failed write may have run.
type Store interface {
	// Era returns the latest era of the store in any of its answers, refusals included.
	Era() mirror.Era
	// Range reads all items below prefix.
	Range(ctx context.Context, prefix string, from Replica) (Snapshot, error)
	// Watch returns as soon as there is a change below prefix after the given
	// revision, or without events once wait has passed.
	Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (Changes, error)
	// Commit runs t and returns the store's revision.
	Commit(ctx context.Context, t Txn) (mirror.Revision, error)
	// Grant creates a lease that ends ttl after its last renewal. It returns
	// the time to live that the store has actually granted.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew restarts the lease's time to live.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends the lease.
	Revoke(ctx context.Context, l Lease) error
}
