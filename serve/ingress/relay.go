package ingress

import (
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/serve/peer"
)

// Entry VMs relay what they have read from the store, for two reasons. The store
// may refuse one VM while it serves others, and that VM alone would miss a new
// configuration or the removal of a target. And in a large region only a few VMs
// read the store, because each waiting watch is a call.

// relayRequest requests what was read after a revision.
type relayRequest struct {
	AsOf mirror.Revision
	// Follow requests an answer even if there is nothing newer: the sender does not
	// read the store itself while it gets answers.
	Follow bool
}

// relay is what one VM has read from the store.
type relay struct {
	AsOf mirror.Revision
	// Full means that Changes contains all items, and that keys missing there are
	// removed; otherwise Changes contains the changes after the requested revision.
	Full    bool
	Changes []mirror.Change
	// Age is how long ago the sender read from the store.
	Age time.Duration
	// StoreReliable means that the sender reads the store without failures, so
	// removals do not result from a failure of the store.
	StoreReliable bool
	// Page numbers the messages of one relay from 0. More means that another page
	// follows.
	Page int
	More bool
}

// relayTurnRange is the range of the initial relayTurn, which spreads the first
// requests of VMs that start together over the other VMs.
const relayTurnRange = 1024

// askNeighbours requests updates from other entry VMs, in turn.
func (s *Server) askNeighbours() {
	near, far := s.neighbours()
	if len(near)+len(far) == 0 {
		// A restarted VM knows other VMs only by the addresses in its settings.
		for _, addr := range s.reloadable.Load().seeds {
			if addr != s.settings.Self.PeerAddr {
				far = append(far, peer.AtAddress(addr))
			}
		}
	}
	turn := int(s.relayTurn.Add(1))
	for _, list := range [][]fleet.VM{near, far} {
		if len(list) > 0 {
			s.requestUpdate(list[turn%len(list)], false)
		}
	}
}

// requestUpdate requests from a VM what this one lacks.
func (s *Server) requestUpdate(from fleet.VM, follow bool) {
	if asOf := s.copyAsOf(); asOf > 0 {
		s.sendTo(from, kindRelayRequest, &relayRequest{AsOf: asOf, Follow: follow})
		return
	}
	s.sendTo(from, kindCopyRequest, &copyRequest{Follow: follow})
}

// neighbours returns the other entry VMs, those of this VM's failure domain
// separately: their messages cross no other domain. One VM of each group is
// asked at a time, because the whole failure domain may be cut off.
func (s *Server) neighbours() (near, far []fleet.VM) {
	for _, vm := range s.members.Load().vms {
		switch {
		case vm.ID == s.settings.Self.ID:
		case vm.Domain == s.settings.Self.Domain:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	return near, far
}

// followReader requests updates from the VM that reads the store for this one.
// It reports false if there is no such VM or it gave no fresh answer.
func (s *Server) followReader() bool {
	from, ok := s.readers.Source(s.now(), s.settings.Self, s.members.Load().vms)
	if !ok {
		return false
	}
	if receipt, ok := s.requestReaderUpdate(from, reader.PollTimeout); ok && receipt.from == from.ID && reader.Fresh(receipt.age) {
		return true
	}
	if s.ctx.Err() != nil {
		return true
	}
	s.readers.Failed(s.now(), from.ID)
	s.event(eventRelay).WithField("from", from.ID).Warn("no fresh answer from the reader: reading the store directly")
	return false
}

// requestReaderUpdate requests from a VM what this one lacks, and waits for a
// relay.
func (s *Server) requestReaderUpdate(from fleet.VM, timeout time.Duration) (relayReceipt, bool) {
	select {
	case <-s.relayReceipts: // from an earlier request
	default:
	}
	s.requestUpdate(from, true)
	select {
	case receipt := <-s.relayReceipts:
		return receipt, true
	case <-time.After(timeout):
	case <-s.ctx.Done():
	}
	return relayReceipt{}, false
}

// relayReceipt tells requestReaderUpdate that a relay was applied.
type relayReceipt struct {
	from fleet.VMID
	age  time.Duration
}

func (s *Server) copyAsOf() mirror.Revision {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	return s.copy.AsOf()
}

func (s *Server) copyValid() bool {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	return s.copy.Valid()
}

// receiveRelayRequest answers another entry VM if this one has read more or the
// other one follows it.
func (s *Server) receiveRelayRequest(from fleet.VMID, b peer.Body) error {
	var req relayRequest
	if err := peer.Decode(b, peer.MaxBody, &req); err != nil {
		return err
	}
	s.copyMu.Lock()
	valid := s.copy.Valid()
	r, known := s.relaySince(req.AsOf)
	s.copyMu.Unlock()
	switch {
	case !valid:
	case !known:
		s.sendCopy(from)
	case req.Follow || r.AsOf > req.AsOf:
		s.sendRelay(r, from)
	}
	return nil
}

// relayHead returns a relay without its changes. copyMu must be held.
func (s *Server) relayHead() relay {
	return relay{
		AsOf:          s.copy.AsOf(),
		Age:           s.now().Sub(clock.Time(s.storeReadAt.Load())),
		StoreReliable: !s.storeDegraded(),
	}
}

// relaySince returns what a VM with a copy of this revision lacks. It reports
// false if some of the removals since then are no longer known. copyMu must be
// held.
func (s *Server) relaySince(after mirror.Revision) (relay, bool) {
	r := s.relayHead()
	if r.AsOf <= after {
		return r, true
	}
	var known bool
	r.Changes, known = s.copy.ChangesSince(after)
	return r, known
}

// fullRelay returns all items. copyMu must be held.
func (s *Server) fullRelay() relay {
	r := s.relayHead()
	r.Full = true
	for _, it := range s.copy.Items(allKeys) {
		r.Changes = append(r.Changes, mirror.Change{Item: it})
	}
	return r
}

var errRelay = errors.New("ingress: relay from another entry VM has no revision")

// receiveRelayPage processes one page of another entry VM's relay.
func (s *Server) receiveRelayPage(from fleet.VMID, b peer.Body) error {
	var page relay
	if err := peer.Decode(b, peer.MaxBody, &page); err != nil {
		return err
	}
	return s.addRelayPage(from, &page)
}

// addRelayPage adds one page of another entry VM's relay, and applies the relay
// when it is complete.
func (s *Server) addRelayPage(from fleet.VMID, page *relay) error {
	if page.AsOf == 0 {
		return errRelay
	}
	r, complete := s.relayAssembler.add(from, page)
	if !complete {
		return nil
	}
	s.applyRelay(r)
	select {
	case s.relayReceipts <- relayReceipt{from: from, age: r.Age}:
	default: // no request is waiting
	}
	return nil
}

// applyRelay applies a relay if it is newer than the copy.
func (s *Server) applyRelay(r *relay) {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	s.noteStoreRead(s.now().Add(-r.Age))
	if r.AsOf <= s.copy.AsOf() {
		if r.Full {
			s.metrics.oldRelays.Add(1)
		}
		return
	}
	var changes []mirror.Change
	switch {
	case r.Full:
		items := make([]mirror.Item, len(r.Changes))
		for i := range r.Changes {
			items[i] = r.Changes[i].Item
		}
		changes, _ = s.copy.Replace(items, r.AsOf)
	case s.copy.Valid():
		changes = s.copy.Apply(r.Changes, r.AsOf)
	}
	if len(changes) > 0 {
		s.event(eventRelay).WithField("revision", r.AsOf).WithField("changes", len(changes)).Info("applied changes of the store relayed by another entry VM")
		s.applyChanges(changes, !r.StoreReliable)
	}
}
