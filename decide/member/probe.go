package member

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// stage is the phase of a probe.
type stage uint8

const (
	stageDirect   stage = iota // pinged, waiting for the ack
	stageIndirect              // relays were asked to ping
	stageRelayed               // pinged on behalf of another VM
)

// probe is a ping that has not been answered.
type probe struct {
	seq           uint32
	vm            fleet.VM
	started       clock.Time
	deadline      clock.Time
	stage         stage
	ringSuccessor bool       // if it doesn't answer, its successors are pinged as well
	requester     fleet.VMID // for stageRelayed: the VM that asked for the ping
	requesterSeq  uint32
}

func (s *State) nextSeq() uint32 {
	s.seq++
	return s.seq
}

// probeRing pings the next opts.Monitors live successors in the ring.
func (s *State) probeRing(out *Ready) {
	s.probeSuccessors(s.indexOf(s.self), s.opts.Monitors, out)
}

// probeSuccessors pings the next n live VMs after position at. Suspected VMs
// among them are pinged as well but not counted.
func (s *State) probeSuccessors(at, n int, out *Ready) {
	for step := 1; step < len(s.members) && n > 0; step++ {
		r := s.members[(at+step)%len(s.members)]
		if r == s.self || r.dead() {
			continue
		}
		s.probe(r.vm, true, out)
		if !r.suspected() {
			n--
		}
	}
}

func (s *State) indexOf(r *record) int {
	at, _ := slices.BinarySearchFunc(s.members, r, compareRecords)
	return at
}

// probe pings a VM unless an earlier ping to it is still unanswered.
func (s *State) probe(vm fleet.VM, ring bool, out *Ready) {
	for i := range s.probes {
		if s.probes[i].vm.ID == vm.ID && s.probes[i].stage != stageRelayed {
			return
		}
	}
	p := probe{
		seq:           s.nextSeq(),
		vm:            vm,
		started:       s.now,
		deadline:      s.now.Add(s.opts.DirectTimeout),
		ringSuccessor: ring,
	}
	s.probes = append(s.probes, p)
	s.sendPing(p.seq, vm, nil, out)
}

func (s *State) sendPing(seq uint32, to fleet.VM, fact *Fact, out *Ready) {
	m := &Ping{Seq: seq}
	if s.inOwnDomain(to) {
		m.MembersHash, m.RowsHash, m.Facts = s.memberHash(), s.rowHash(), s.takeFacts(to.ID)
	}
	if fact != nil {
		m.Facts = append(m.Facts, *fact)
	}
	s.send(to, m, ScopeNone, out)
}

// inOwnDomain reports whether a VM is known to be of the own domain. Hashes and
// piggybacked facts are only sent to such VMs.
func (s *State) inOwnDomain(vm fleet.VM) bool {
	return vm.Domain == s.self.vm.Domain
}

// probeRandom pings the next VM in a random order of the members, dead ones
// included, and of the listed VMs of the domain that are not members. Dead and
// listed VMs are included so that after a partition, in which each side
// declared the other dead, the sides find each other again.
func (s *State) probeRandom(out *Ready) {
	for range 2 {
		for len(s.probeOrder) > 0 {
			id := s.probeOrder[len(s.probeOrder)-1]
			s.probeOrder = s.probeOrder[:len(s.probeOrder)-1]
			if vm, ok := s.address(id); ok {
				s.probe(vm, false, out)
				return
			}
		}
		s.refillProbeOrder()
	}
}

func (s *State) refillProbeOrder() {
	for _, r := range s.members {
		if r != s.self {
			s.probeOrder = append(s.probeOrder, r.vm.ID)
		}
	}
	for i := range s.contacts {
		c := &s.contacts[i]
		if c.vm.Domain == s.self.vm.Domain && s.byID[c.vm.ID] == nil {
			s.probeOrder = append(s.probeOrder, c.vm.ID)
		}
	}
	s.rng.Shuffle(len(s.probeOrder), func(i, j int) {
		s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i]
	})
}

// address returns the addresses of a VM that is a member, a contact, or listed
// in the row of another domain.
func (s *State) address(id fleet.VMID) (fleet.VM, bool) {
	if id == s.self.vm.ID {
		return fleet.VM{}, false
	}
	if r := s.byID[id]; r != nil {
		return r.vm, true
	}
	if at, ok := s.findContact(id); ok {
		return s.contacts[at].vm, true
	}
	return s.findInRows(id)
}

// replyAddress returns where to send an answer. If the VM's address is unknown,
// the answer can only be sent over the connection that the VM has opened.
func (s *State) replyAddress(id fleet.VMID) fleet.VM {
	if vm, ok := s.address(id); ok {
		return vm
	}
	return fleet.VM{ID: id}
}

func (s *State) findContact(id fleet.VMID) (int, bool) {
	return slices.BinarySearchFunc(s.contacts, id, func(c contact, id fleet.VMID) int {
		return cmp.Compare(c.vm.ID, id)
	})
}

// addContact adds or refreshes a VM that the platform's list or the seeds name.
func (s *State) addContact(vm fleet.VM) {
	if vm.ID == s.self.vm.ID || vm.ID == "" || vm.PeerAddr == "" {
		return
	}
	at, ok := s.findContact(vm.ID)
	if !ok {
		s.contacts = slices.Insert(s.contacts, at, contact{})
	}
	s.contacts[at] = contact{vm: vm, lastListed: s.now}
	if !ok && vm.Domain == s.self.vm.Domain && s.byID[vm.ID] == nil {
		s.probeOrder = append(s.probeOrder, vm.ID)
		s.due.random = s.now
	}
}

// expireContacts removes contacts that the list has not named for contactGrace.
// Seeds expire in the same way once a list is available.
func (s *State) expireContacts() {
	s.contacts = slices.DeleteFunc(s.contacts, func(c contact) bool {
		return s.now.Sub(c.lastListed) > contactGrace
	})
}

// applyFactsFrom applies the facts sent by a VM of the own domain. From other
// VMs it applies only facts about this VM. Facts don't name their domain, so
// applying all facts of another domain would merge the two domains.
func (s *State) applyFactsFrom(id fleet.VMID, facts []Fact) {
	vm, ok := s.address(id)
	if ok && s.inOwnDomain(vm) {
		s.applyFacts(facts)
		return
	}
	for i := range facts {
		if facts[i].ID == s.self.vm.ID {
			s.applyFact(&facts[i])
		}
	}
}

func (s *State) handlePing(m *Message, p *Ping, out *Ready) {
	s.applyFactsFrom(m.From, p.Facts)
	to := s.replyAddress(m.From)
	a := &Ack{Seq: p.Seq}
	if s.inOwnDomain(to) {
		a.MembersHash, a.RowsHash, a.Facts = s.memberHash(), s.rowHash(), s.takeFacts(to.ID)
	}
	s.send(to, a, ScopeNone, out)
	s.compareHashes(m, p.MembersHash, p.RowsHash, out)
}

func (s *State) handleAck(m *Message, a *Ack, out *Ready) {
	s.applyFactsFrom(m.From, a.Facts)
	at := slices.IndexFunc(s.probes, func(p probe) bool { return p.seq == a.Seq })
	if at < 0 {
		return
	}
	p := s.probes[at]
	s.probes = slices.Delete(s.probes, at, at+1)
	if p.stage == stageRelayed {
		s.send(fleet.VM{ID: p.requester}, &Ack{Seq: p.requesterSeq}, ScopeNone, out)
		return
	}
	if m.From != p.vm.ID {
		return // the ack of a relay carries no hashes
	}
	s.compareHashes(m, a.MembersHash, a.RowsHash, out)
}

// handlePingReq pings a VM on behalf of another one whose ping was not
// answered.
func (s *State) handlePingReq(m *Message, q *PingReq, out *Ready) {
	to := fleet.VM{
		ID:       q.VM.ID,
		PeerAddr: q.VM.PeerAddr,
	}
	if vm, ok := s.address(to.ID); ok {
		to = vm
	}
	p := probe{
		seq:          s.nextSeq(),
		vm:           to,
		started:      s.now,
		deadline:     s.now.Add(s.opts.IndirectTimeout),
		stage:        stageRelayed,
		requester:    m.From,
		requesterSeq: q.Seq,
	}
	s.probes = append(s.probes, p)
	var f *Fact
	if q.Fact.ID != "" {
		f = &q.Fact
	}
	s.sendPing(p.seq, to, f, out)
}

// expireProbes advances each overdue probe: a direct one becomes indirect, an
// indirect one leads to a suspicion.
func (s *State) expireProbes(out *Ready) {
	for i := 0; i < len(s.probes); {
		p := s.probes[i]
		if p.deadline > s.now {
			i++
			continue
		}
		if p.stage == stageDirect && s.startIndirectProbe(&s.probes[i], out) {
			i++
			continue
		}
		s.probes = slices.Delete(s.probes, i, i+1)
		if p.stage == stageIndirect {
			s.handleUnanswered(&p)
		}
	}
}

// startIndirectProbe asks other VMs to ping the VM of an unanswered ping. It
// returns false if the probe has ended: the VM was heard from in the meantime,
// so only the ack was lost, or it is not a live member.
func (s *State) startIndirectProbe(p *probe, out *Ready) bool {
	r := s.byID[p.vm.ID]
	if r == nil || r.dead() || r.lastHeard > p.started {
		return false
	}
	p.stage = stageIndirect
	p.deadline = s.now.Add(s.opts.IndirectTimeout)
	q := PingReq{Seq: p.seq, VM: RowVM{ID: r.vm.ID, PeerAddr: r.vm.PeerAddr}}
	if r.suspected() {
		q.Fact = s.factAbout(r, false)
	}
	for _, to := range s.relays(r) {
		m := q
		s.send(to, &m, ScopeNone, out)
	}
	if p.ringSuccessor {
		s.probeSuccessors(s.indexOf(r), probesPerTimeout, out)
	}
	return true
}

// relays chooses VMs to ping r: random members, and at least one VM of another
// domain of the region if there is one. The latter keeps a domain together
// whose members can't reach each other across an internal partition.
func (s *State) relays(r *record) []fleet.VM {
	var inside []fleet.VM
	for _, m := range s.members {
		if m != s.self && m != r && !m.dead() && !m.suspected() {
			inside = append(inside, m.vm)
		}
	}
	outside := s.otherDomainFirstReps(1)
	s.shuffleVMs(inside)
	s.shuffleVMs(outside)
	n := s.opts.Relays - min(1, len(outside))
	out := inside[:min(n, len(inside))]
	return append(out, outside[:min(s.opts.Relays-len(out), len(outside))]...)
}

func (s *State) shuffleVMs(vms []fleet.VM) {
	s.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
}

func (s *State) handleUnanswered(p *probe) {
	r := s.byID[p.vm.ID]
	if r == nil || r.lastHeard > p.started {
		return
	}
	s.suspect(r)
}

// sendFailed brings the probe of a VM forward after a connection to it failed.
func (s *State) sendFailed(to fleet.VMID, out *Ready) {
	for i := range s.probes {
		p := &s.probes[i]
		if p.vm.ID == to && p.stage == stageDirect {
			p.deadline = s.now
			return
		}
	}
	if r := s.byID[to]; r != nil && !r.dead() && !r.suspected() {
		s.probe(r.vm, false, out)
	}
}

// probeSoon makes the next random probe, due at once, ping a VM.
func (s *State) probeSoon(id fleet.VMID) {
	s.probeOrder = append(s.probeOrder, id)
	s.due.random = s.now
}

func (s *State) send(to fleet.VM, m Msg, scope Scope, out *Ready) {
	out.Sends = append(out.Sends, Send{To: to, Msg: m, Scope: scope})
}
