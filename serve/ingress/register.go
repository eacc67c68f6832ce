package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"time"

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
	_, err = s.store.Commit(s.ctx, kv.Txn{Writes: []kv.Write{{Key: s.memberKey(), Value: value, Lease: lease}}})
	s.noteEra(s.store.Era())
	if err != nil {
		return kv.Lease{}, err
	}
	s.listedAt = s.now()
	s.event(eventMembers).WithField("lease", lease.ID).Info("this entry VM is registered")
	return lease, nil
}

// renewLease renews the lease and reports whether that succeeded. It returns the
// lease, zero if it has ended.
func (s *Server) renewLease(lease kv.Lease) (kv.Lease, bool) {
	err := s.store.Renew(s.ctx, lease)
	s.noteEra(s.store.Era())
	switch {
	case errors.Is(err, kv.ErrLeaseLost), errors.Is(err, kv.ErrEra):
		s.event(eventMembers).WithField("lease", lease.ID).Warn("lease has ended")
		return kv.Lease{}, false
	case err != nil:
		s.storeFailed(err)
		return lease, false
	default:
		s.storeReached()
		return lease, true
	}
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
