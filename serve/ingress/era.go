package ingress

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/serve/kv"
)

// The store may come back from a copy of an earlier state, which begins a new era. An entry
// VM may learn of it by any answer of the store, or from another VM. It then reads all
// keys; package mirror decides what holds until operators, targets and entry VMs have
// written again what was lost.

const (
	// noEra means that no era is known.
	noEra = -1
	// retainedTimeout is how long a VM that starts waits for what others retain.
	retainedTimeout = 300 * time.Millisecond
	// maxRetainedSources is how many VMs it asks.
	maxRetainedSources = 3
	// registrationsPerSecond limits the rate at which the VMs of a fleet register again,
	// with two writes each. The store takes several hundred writes a second.
	registrationsPerSecond = 100
)

// knownEra returns the latest era that this VM knows of.
func (s *Server) knownEra() mirror.Era { return mirror.Era(max(s.storeEra.Load(), 0)) }

// noteEra records the store's era after a call, or as another VM knows it.
func (s *Server) noteEra(era mirror.Era) {
	for {
		before := s.storeEra.Load()
		if int64(era) <= before {
			return
		}
		if !s.storeEra.CompareAndSwap(before, int64(era)) {
			continue
		}
		s.eraNotedAt.Store(int64(s.now()))
		if before != noEra {
			s.event(eventStore).WithField("era", era).WithField("previous", before).WithField("copy_revision", s.copyAt().Revision).
				Warn("store has come back from a copy of an earlier state")
		}
		s.endWatch()
		select {
		case s.eraNoted <- struct{}{}:
		default:
		}
		return
	}
}

// untilNextEra returns a context that ends when an era after the given one is known.
func (s *Server) untilNextEra(era mirror.Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.watchMu.Lock()
	s.cancelWatch = cancel
	s.watchMu.Unlock()
	if s.knownEra() > era {
		cancel()
	}
	return ctx, cancel
}

// endWatch ends the watch in progress: it is of an earlier era.
func (s *Server) endWatch() {
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

// eraEntered is called when the copy has come into a new era. copyMu must be held.
func (s *Server) eraEntered(before mirror.Position) {
	retained := s.copy.Retained(s.now())
	at := s.copy.At()
	s.event(eventStore).WithField("era", at.Era).WithField("revision", at.Revision).WithField("previous", before.Era).
		WithField("copy_revision", before.Revision).WithField("retained", len(retained)).Warn("copy is of a new era")
	s.restoreQuarantines(retained)
	if len(s.awaitingRetained) > 0 {
		r := s.relayHead()
		r.Retained = retained
		for id := range s.awaitingRetained {
			s.sendRelay(r, id)
		}
		clear(s.awaitingRetained)
	}
	select {
	case s.eraChanged <- struct{}{}:
	default:
	}
	// Other VMs may know more than this one. Most of them enter the era within this time.
	time.AfterFunc(relayInterval, func() { s.askForRetained(at) })
}

// restoreQuarantines has the quarantines written again that differ in the store.
func (s *Server) restoreQuarantines(retained []mirror.Retained) {
	ev := new(ingress.QuarantinesLost)
	for i := range retained {
		text, ok := strings.CutPrefix(retained[i].Key, prefixQuarantine)
		var f quarantine.Fingerprint
		if !ok || f.UnmarshalText([]byte(text)) != nil {
			continue // a key that cannot be read was logged when it was applied
		}
		_, stored := s.copy.Stored(retained[i].Key)
		s.quarantines.setStored(f, stored)
		ev.Fingerprints = append(ev.Fingerprints, f)
	}
	if len(ev.Fingerprints) > 0 {
		s.core.Post(ev)
	}
}

// scheduleExpiry sets the timer at which the store's state replaces what is retained.
// copyMu must be held.
func (s *Server) scheduleExpiry() {
	next := s.copy.NextExpiry()
	if next == clock.Never || s.ctx.Err() != nil {
		return
	}
	if s.expiry == nil {
		s.expiry = time.AfterFunc(next.Sub(s.now()), s.expireRetained)
		return
	}
	s.expiry.Reset(next.Sub(s.now()))
}

func (s *Server) expireRetained() {
	s.updateCopy(false, func(now clock.Time) []mirror.Change {
		changes := s.copy.Expire(now)
		if len(changes) > 0 {
			s.event(eventStore).WithField("changes", len(changes)).Warn("what was known before the store's return is given up: it was not written again")
		}
		return changes
	})
}

// fetchRetained asks other VMs what they retain from earlier eras, for a VM that starts and
// has read snap.
func (s *Server) fetchRetained(snap *kv.Snapshot) []mirror.Retained {
	if snap.At.Era == 0 {
		return nil // the store has never come back from a copy
	}
	s.drainReceipts()
	asked := s.retainedSources(s.membersIn(snap.Items))
	for _, vm := range asked {
		s.sendTo(vm, kindRelayRequest, &relayRequest{AsOf: snap.At.Revision, Era: snap.At.Era, Retained: true})
	}
	var retained []mirror.Retained
	timeout := time.After(retainedTimeout)
	for range asked {
		select {
		case receipt := <-s.relayReceipts:
			retained = append(retained, receipt.retained...)
		case <-timeout:
			return retained
		case <-s.ctx.Done():
			return retained
		}
	}
	return retained
}

// retainedSources chooses among other VMs: one of this VM's failure domain and others.
func (s *Server) retainedSources(vms []fleet.VM) []fleet.VM {
	if len(vms) == 0 {
		vms = s.seedVMs()
	}
	near, far := s.byDistance(vms)
	turn := int(s.relayTurn.Add(1))
	near, far = rotated(near, turn), rotated(far, turn)
	first := min(1, len(near))
	order := slices.Concat(near[:first], far, near[first:])
	return order[:min(len(order), maxRetainedSources)]
}

// rotated returns list beginning at an element given by turn.
func rotated[T any](list []T, turn int) []T {
	if len(list) == 0 {
		return nil
	}
	at := turn % len(list)
	return slices.Concat(list[at:], list[:at])
}

// askForRetained asks other VMs what they retain from before the era of a position.
func (s *Server) askForRetained(at mirror.Position) {
	if s.ctx.Err() != nil {
		return
	}
	for _, vm := range s.retainedSources(s.members.Load().vms) {
		s.sendTo(vm, kindRelayRequest, &relayRequest{AsOf: at.Revision, Era: at.Era, Retained: true})
	}
}

// copyRules interpret the keys of the store for its copy.
type copyRules struct{ translate Translator }

// Class implements mirror.Rules.
func (c copyRules) Class(key string) mirror.Class {
	switch {
	case strings.HasPrefix(key, prefixMembers):
		return mirror.Instance
	case strings.HasPrefix(key, prefixQuarantine):
		return mirror.Lasting // entry VMs themselves write it again
	default:
		return c.translate.Class(key)
	}
}

// Compare implements mirror.Rules.
func (c copyRules) Compare(key string, a, b []byte) (int, bool) {
	if strings.HasPrefix(key, prefixMembers) || strings.HasPrefix(key, prefixQuarantine) {
		return 0, false
	}
	return c.translate.Compare(key, a, b)
}
