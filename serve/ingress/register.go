package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/serve/kv"
)

// leaseRenewFraction is the fraction of the lease's time to live after which the
// lease is renewed. A failed renewal is repeated after retryPause, so one may
// time out and another one fail before the lease ends.
const leaseRenewFraction = 0.4

// revokeTimeout limits the call that revokes the lease at a planned stop. If it
// fails, the lease expires.
const revokeTimeout = 500 * time.Millisecond

// requestRelisting wakes keepRegistered because the key of this VM is not in the
// store. The store may delete keys although this VM has not seen its lease end.
func (s *Server) requestRelisting() {
	select {
	case s.relist <- struct{}{}:
	default:
	}
}

// keepRegistered keeps this VM on the store's list of entry VMs, from its first
// copy of the store to its planned stop. It does not wait for a configuration:
// at the first start of a fleet there may be none for seconds, and until the VMs
// know each other all of them read the store.
func (s *Server) keepRegistered() {
	var lease kv.Lease
	defer func() { s.revokeLease(lease) }()
	nextPause, resetPause := s.storeBackoff()
	renewEvery := time.Duration(leaseRenewFraction * float64(s.settings.LeaseTTL))
	next := renewEvery
	for s.ctx.Err() == nil {
		if !s.copyValid() {
			s.sleep(firstCopyPollInterval)
			continue
		}
		if lease == (kv.Lease{}) {
			l, err := s.registerMember()
			if err != nil {
				s.storeFailed(err)
				s.sleep(nextPause())
				continue
			}
			lease, next = l, renewEvery
			resetPause()
		}
		select {
		case <-time.After(next):
			var renewed bool
			if lease, renewed = s.renewLease(lease); renewed {
				next = renewEvery
			} else {
				next = retryPause
			}
		case <-s.eraChanged:
			if lease = s.leaseInNewEra(lease); lease == (kv.Lease{}) {
				s.sleep(s.registrationDelay())
			}
		case <-s.relist:
			if s.listedRecently() {
				continue // the copy may be older than the key
			}
			lease = kv.Lease{}
		case <-s.ctx.Done():
		}
	}
}

// firstCopyPollInterval is how often keepRegistered checks whether there is a
// first copy of the store.
const firstCopyPollInterval = 20 * time.Millisecond

// listedRecently reports whether the key was written so recently that the result
// of an earlier read may still arrive.
func (s *Server) listedRecently() bool { return s.now().Sub(s.listedAt) < minRelistInterval }

// maxEraWait is how long the first read of a new era may take before this VM registers
// again without knowing whether its lease still exists.
const maxEraWait = 2 * time.Second

// minRelistInterval is the minimum time between two writes of the key.
const minRelistInterval = time.Second

// memberKey returns the key of this VM.
func (s *Server) memberKey() string { return prefixMembers + string(s.settings.Self.ID) }

// registerMember writes the key of this VM under a new lease.
func (s *Server) registerMember() (kv.Lease, error) {
	lease, _, err := s.store.Grant(s.ctx, s.settings.LeaseTTL)
	s.noteEra(s.store.Era())
	if err != nil {
		return kv.Lease{}, err
	}
	value, err := json.Marshal(s.settings.Self)
	if err != nil {
		return kv.Lease{}, err
	}
	at, err := s.store.Commit(s.ctx, kv.Txn{Writes: []kv.Write{{Key: s.memberKey(), Value: value, Lease: lease}}})
	s.noteEra(s.store.Era())
	if err != nil {
		return kv.Lease{}, err
	}
	s.listedAt, s.listedRevision = s.now(), at.Revision
	s.event(eventMembers).WithField("lease", lease.ID).WithField("era", lease.Era).Info("this entry VM is registered")
	return lease, nil
}

// renewLease renews the lease and reports whether that succeeded. It returns the
// lease, zero if it has ended.
func (s *Server) renewLease(lease kv.Lease) (kv.Lease, bool) {
	err := s.store.Renew(s.ctx, lease)
	s.noteEra(s.store.Era())
	switch {
	case errors.Is(err, kv.ErrLeaseLost):
		s.event(eventMembers).WithField("lease", lease.ID).Warn("lease has ended")
		return kv.Lease{}, false
	case errors.Is(err, kv.ErrEra) && s.now().Sub(clock.Time(s.eraNotedAt.Load())) < maxEraWait:
		return lease, false // the copy will tell whether it still exists
	case errors.Is(err, kv.ErrEra):
		return kv.Lease{}, false
	case err != nil:
		s.storeFailed(err)
		return lease, false
	default:
		s.storeReached()
		return lease, true
	}
}

// leaseInNewEra returns the lease as one of the era of the copy, zero if it is lost. The
// key that was written under it proves that it existed when the store's copy was made, so
// its id was given out to nobody else.
func (s *Server) leaseInNewEra(lease kv.Lease) kv.Lease {
	s.copyMu.Lock()
	it, stored := s.copy.Stored(s.memberKey())
	era := s.copy.At().Era
	s.copyMu.Unlock()
	switch {
	case lease == (kv.Lease{}) || lease.Era >= era:
	case stored && it.Revision == s.listedRevision:
		lease.Era = era
	default:
		lease = kv.Lease{}
	}
	return lease
}

// registrationDelay returns a random delay that spreads the registrations of the VMs which
// the store has lost.
func (s *Server) registrationDelay() time.Duration {
	s.copyMu.Lock()
	missing := 0
	for key := range s.membersByKey {
		if _, stored := s.copy.Stored(key); !stored {
			missing++
		}
	}
	s.copyMu.Unlock()
	return time.Duration(rand.Int64N(int64(missing+1) * int64(time.Second) / registrationsPerSecond))
}

func (s *Server) revokeLease(lease kv.Lease) {
	if lease == (kv.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := s.store.Revoke(ctx, lease); err != nil {
		s.event(eventMembers).WithError(err).Warn("lease could not be revoked: it will expire")
	}
}
