// Package kv is what the product asks of a metadata store: keys with
// revisions, conditional writes, leases and watches. Folder platform has the
// client of the users' store; tests have one in memory.
package kv

import (
	"context"
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
)

// Lease names a lease. Keys written under it are removed when it ends. The
// zero value is no lease.
type Lease uint64

// Replica says which replica of the store may answer a read.
type Replica uint8

const (
	// Latest answers with everything that was acknowledged before the read.
	Latest Replica = iota
	// Any may be seconds behind, at a tenth of the price and beside the limits on
	// calls. A watch from its revision on brings a copy up to date.
	Any
)

// Snapshot is a full read of a prefix.
type Snapshot struct {
	Items []mirror.Item
	// AsOf is a revision of the store up to which nothing is missing; changes
	// made since may be missing or included.
	AsOf mirror.Revision
}

// Changes are what a watch has seen.
type Changes struct {
	Events []mirror.Change
	AsOf   mirror.Revision // the revision to go on from
}

// Condition holds when the key's revision is the given one; 0: no such key.
type Condition struct {
	Key      string
	Revision mirror.Revision
}

// Write sets a key, under a lease if there is one.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is carried out as a whole if all its conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Remove     []string
}

var (
	// ErrCompacted means that the store no longer has the history asked for.
	ErrCompacted = errors.New("kv: history is no longer available")
	// ErrConflict means that a condition does not hold; nothing was written.
	ErrConflict = errors.New("kv: condition does not hold")
	// ErrLeaseLost means that the lease has ended.
	ErrLeaseLost = errors.New("kv: lease has ended")
)

// Store is the metadata store. Errors other than those of this package are
// *verdict.Error: whether a write that failed may have been carried out.
type Store interface {
	// Range reads all items below prefix.
	Range(ctx context.Context, prefix string, from Replica) (Snapshot, error)
	// Watch returns as soon as there is a change below prefix after the given
	// revision, and without events at the end of wait.
	Watch(ctx context.Context, prefix string, after mirror.Revision, wait time.Duration) (Changes, error)
	// Commit carries out t and returns the store's revision.
	Commit(ctx context.Context, t Txn) (mirror.Revision, error)
	// Grant makes a lease that ends ttl after its last renewal, and returns
	// the time that the store has really given.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew starts the lease's time anew.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends the lease.
	Revoke(ctx context.Context, l Lease) error
}
