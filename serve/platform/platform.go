package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// MaxValueSize is the maximum size of one value in bytes.
const MaxValueSize = 1 << 20

// MinLeaseTTL is the shortest time to live of a lease. The published API rejects
// shorter ones, so GrantLease uses this instead.
const MinLeaseTTL = 10 * time.Second

// LeaseID identifies a lease. The zero value is no lease.
type LeaseID string

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	Index uint64  // increases with every change of this entry
	Lease LeaseID // lease that holds the entry; empty if none does
}

var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("platform: key not found")
	// ErrConflict means that the index of an entry was not the expected one. The
	// error is a *ConflictError.
	ErrConflict = errors.New("platform: conflict")
	// ErrTooLarge means that the value exceeds MaxValueSize. Nothing was
	// written.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrNotModified means that a watch ended without a change.
	ErrNotModified = errors.New("platform: not modified")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("platform: lease lost")
)

// ConflictError reports a failed comparison of indexes. Nothing was written.
type ConflictError struct {
	Key     string
	Current Entry // the entry as read back; valid if Known and Exists
	Known   bool  // whether reading back succeeded
	Exists  bool  // whether the key was present when read back
}

// Error implements error.
func (e *ConflictError) Error() string {
	switch {
	case !e.Known:
		return fmt.Sprintf("platform: conflict on %q, current index unknown", e.Key)
	case !e.Exists:
		return fmt.Sprintf("platform: conflict on %q, which is absent", e.Key)
	default:
		return fmt.Sprintf("platform: conflict on %q, now at index %d", e.Key, e.Current.Index)
	}
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Store is the platform's key-value service. Failures other than the errors of
// this package are *verdict.Error.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries whose key starts with prefix, by key.
	List(ctx context.Context, prefix string) ([]Entry, error)

	// Watch returns the entry as soon as its index exceeds after, or ErrNotModified
	// if that has not happened by the end of wait. It returns at once if after is
	// 0.
	//
	// An absent key returns ErrNotFound; the returned Entry then has the index to
	// wait after for its creation.
	//
	// If the service has been restored with older data, the index may be lower than
	// after. Watch then returns the entry at the end of wait at the latest. The
	// index of the returned entry is therefore always the one to wait after next,
	// but does not show whether the value is newer.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)

	// CompareAndSwap writes value if the entry's index is still index; index 0
	// creates the key if it is absent. It returns the new index, or 0 if the write
	// was accepted but its index is unknown. A failed comparison returns a
	// *ConflictError.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, error)

	// Delete removes the key if its index is still index; index 0 removes it
	// regardless of its index. Removing an absent key succeeds.
	Delete(ctx context.Context, key string, index uint64) error

	// GrantLease creates a lease that expires ttl after its last renewal. The
	// service may let it expire later, but never earlier.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// RenewLease restarts the time to live, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error

	// RevokeLease ends the lease and releases what it holds. Revoking a lease that
	// no longer exists succeeds.
	RevokeLease(ctx context.Context, id LeaseID) error

	// Acquire writes value and holds the key under lease, unless another lease
	// holds it. In that case held is false and nothing is written. The index is as
	// from CompareAndSwap. When the lease ends, the entry stays, with a higher
	// index and no lease. An expired lease returns ErrLeaseLost.
	//
	// Holding a key does not prevent others from using CompareAndSwap on it: a
	// lease avoids duplicate work, and only the compared index protects a write.
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (index uint64, held bool, err error)
}

// Machines is the platform's list of machines, which lags behind their state.
type Machines interface {
	// Machines returns the list as soon as its version differs from after, or
	// ErrNotModified if that has not happened by the end of wait. It returns at
	// once if after is 0.
	Machines(ctx context.Context, after uint64, wait time.Duration) (fleet.List, error)
}
