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

// relayRequest requests what was read after a position.
type relayRequest struct {
	AsOf mirror.Revision
	Era  mirror.Era
	// Known is the latest era that the sender knows of; it may not have read it yet.
	Known mirror.Era
	// Retained requests an answer with what is retained from earlier eras.
	Retained bool
	// Follow requests an answer even if there is nothing newer: the sender does not
	// read the store itself while it gets answers.
	Follow bool
}

// relay is what one VM has read from the store.
type relay struct {
	AsOf mirror.Revision
	Era  mirror.Era
	// Base is the sender's mirror.State.Base.
	Base mirror.Revision
	// Retained is what the sender retains from earlier eras: in full relays, and if it
	// was requested.
	Retained []mirror.Retained
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

func (r *relayRequest) at() mirror.Position { return mirror.Position{Era: r.Era, Revision: r.AsOf} }

func (r *relay) at() mirror.Position { return mirror.Position{Era: r.Era, Revision: r.AsOf} }

// relayTurnRange is the range of the initial relayTurn, which spreads the first
// requests of VMs that start together over the other VMs.
const relayTurnRange = 1024

// askNeighbours requests updates from other entry VMs, in turn.
func (s *Server) askNeighbours() {
	near, far := s.neighbours()
	if len(near)+len(far) == 0 {
		far = s.seedVMs()
	}
	for _, vm := range s.inTurn(near, far) {
		s.requestUpdate(vm, false)
	}
}

// seedVMs returns the VMs that a restarted VM knows: by the addresses in its settings.
func (s *Server) seedVMs() (vms []fleet.VM) {
	for _, addr := range s.reloadable.Load().seeds {
		if addr != s.settings.Self.PeerAddr {
			vms = append(vms, peer.AtAddress(addr))
		}
	}
	return vms
}

// inTurn returns one VM of each list, another one each time.
func (s *Server) inTurn(lists ...[]fleet.VM) (vms []fleet.VM) {
	turn := int(s.relayTurn.Add(1))
	for _, list := range lists {
		if len(list) > 0 {
			vms = append(vms, list[turn%len(list)])
		}
	}
	return vms
}

// requestUpdate requests from a VM what this one lacks.
func (s *Server) requestUpdate(from fleet.VM, follow bool) {
	if s.copyValid() {
		at := s.copyAt()
		s.sendTo(from, kindRelayRequest, &relayRequest{AsOf: at.Revision, Era: at.Era, Known: s.knownEra(), Follow: follow})
		return
	}
	s.sendTo(from, kindCopyRequest, &copyRequest{Follow: follow})
}

// neighbours returns the other entry VMs, those of this VM's failure domain
// separately: their messages cross no other domain. One VM of each group is
// asked at a time, because the whole failure domain may be cut off.
func (s *Server) neighbours() (near, far []fleet.VM) { return s.byDistance(s.members.Load().vms) }

// byDistance returns the VMs of this VM's failure domain and the others, without itself.
func (s *Server) byDistance(vms []fleet.VM) (near, far []fleet.VM) {
	for _, vm := range vms {
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
	s.drainReceipts()
	s.requestUpdate(from, true)
	select {
	case receipt := <-s.relayReceipts:
		return receipt, true
	case <-time.After(timeout):
	case <-s.ctx.Done():
	}
	return relayReceipt{}, false
}

// drainReceipts drops the receipts of earlier requests.
func (s *Server) drainReceipts() {
	for {
		select {
		case <-s.relayReceipts:
		default:
			return
		}
	}
}

// relayReceipt tells a function that waits for a relay that there was one.
type relayReceipt struct {
	from     fleet.VMID
	age      time.Duration
	retained []mirror.Retained // of a VM that has no copy yet
}

// copyAt returns the position of the copy.
func (s *Server) copyAt() mirror.Position {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	return s.copy.At()
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
	s.noteEra(max(req.Era, req.Known))
	s.copyMu.Lock()
	valid := s.copy.Valid()
	r, known := s.relaySince(req.at())
	if req.Retained {
		r.Retained = s.copy.Retained(s.now())
	}
	if req.Retained && valid && r.Era < req.Era && len(s.awaitingRetained) < maxAwaitingVMs {
		s.awaitingRetained[from] = true
	}
	s.copyMu.Unlock()
	switch {
	case !valid || r.Era < req.Era:
	case !known:
		s.sendCopy(from)
	case req.Follow || req.Retained || r.AsOf > req.AsOf:
		s.sendRelay(r, from)
	}
	return nil
}

// relayHead returns a relay without its changes. copyMu must be held.
func (s *Server) relayHead() relay {
	at := s.copy.At()
	return relay{
		AsOf:          at.Revision,
		Era:           at.Era,
		Age:           s.now().Sub(clock.Time(s.storeReadAt.Load())),
		StoreReliable: !s.storeDegraded(),
	}
}

// relaySince returns what a VM with a copy of this position lacks. It reports
// false if it is of an earlier era or some of the removals since then are no longer known.
// copyMu must be held.
func (s *Server) relaySince(after mirror.Position) (relay, bool) {
	r := s.relayHead()
	if s.copy.At().Compare(after) <= 0 {
		return r, true
	}
	var known bool
	r.Changes, known = s.copy.ChangesSince(after)
	return r, known
}

// fullRelay returns all items, and what is retained. copyMu must be held.
func (s *Server) fullRelay() relay {
	r := s.relayHead()
	r.Full, r.Base = true, s.copy.Base()
	r.Retained = s.copy.Retained(s.now())
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
	if !complete || !s.applyRelay(r) {
		return nil
	}
	select {
	case s.relayReceipts <- relayReceipt{from: from, age: r.Age, retained: r.Retained}:
	default: // no request is waiting
	}
	return nil
}

// applyRelay applies a relay as far as it is newer than the copy. It reports false if the
// relay is of an earlier era than the latest known one.
func (s *Server) applyRelay(r *relay) bool {
	s.noteEra(r.Era)
	if r.Era < s.knownEra() {
		s.metrics.oldRelays.Add(1)
		return false
	}
	read := s.now().Add(-r.Age)
	result := s.updateCopy(!r.StoreReliable, func(now clock.Time) []mirror.Change {
		at := s.copy.At()
		switch {
		case r.Full && (!s.copy.Valid() || r.at().Compare(at) > 0):
			changes, _ := s.copy.Replace(now, r.state())
			return changes
		case !s.copy.Valid() || r.Era != at.Era:
			return nil
		case r.Full:
			s.metrics.oldRelays.Add(1)
			return s.copy.Merge(now, r.Retained)
		}
		changes, _ := s.copy.Apply(now, r.Changes, r.at())
		return append(changes, s.copy.Merge(now, r.Retained)...)
	})
	s.noteStoreRead(read)
	if result == readChanges {
		s.event(eventRelay).WithField("revision", r.AsOf).Info("applied changes of the store relayed by another entry VM")
	}
	return true
}

// state returns the content of a full relay.
func (r *relay) state() mirror.State {
	st := mirror.State{At: r.at(), Base: r.Base, Retained: r.Retained}
	for i := range r.Changes {
		st.Items = append(st.Items, r.Changes[i].Item)
	}
	return st
}
