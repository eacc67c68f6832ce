package ingress

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
)

// prefixMembers is the prefix of one key per live entry VM, each under the VM's
// lease.
const prefixMembers = "azurethread/vm/"

// memberList is a list of entry VMs with data derived from it.
type memberList struct {
	vms  []fleet.VM
	byID map[fleet.VMID]fleet.VM

	mu      sync.Mutex
	answers map[Lookup][]byte // cached answers to look-ups
}

func newMemberList(vms []fleet.VM) *memberList {
	m := &memberList{vms: vms, byID: make(map[fleet.VMID]fleet.VM, len(vms)), answers: make(map[Lookup][]byte)}
	for _, vm := range vms {
		m.byID[vm.ID] = vm
	}
	return m
}

// answer returns the cached answer to a look-up, or encodes and caches it. A
// fleet of 300 VMs gets 3,000 look-ups per second from callers in a few failure
// domains.
func (m *memberList) answer(l Lookup, encode func() ([]byte, error)) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b, ok := m.answers[l]; ok {
		return b, nil
	}
	b, err := encode()
	if err == nil && len(m.vms) > 0 && len(m.answers) < maxCachedAnswers {
		// An answer without any VM depends on whether this VM accepts requests, so it
		// is not cached.
		m.answers[l] = b
	}
	return b, err
}

// clearAnswers drops all cached answers.
func (m *memberList) clearAnswers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.answers)
}

// maxCachedAnswers limits the cached answers, because callers may state any
// failure domain and region.
const maxCachedAnswers = 256

// applyMember applies a change of one entry VM's key. copyMu must be held.
func (s *Server) applyMember(c mirror.Change) {
	delete(s.membersByKey, c.Key)
	if c.Removed {
		return
	}
	vm, err := decodeMember(c.Item)
	if err != nil {
		s.log.WithError(err).WithField("key", c.Key).Error("entry VM in the store cannot be decoded")
		return
	}
	s.membersByKey[c.Key] = vm
}

func decodeMember(it mirror.Item) (fleet.VM, error) {
	var vm fleet.VM
	err := json.Unmarshal(it.Value, &vm)
	return vm, err
}

// publishMembers puts the changed list of entry VMs in force. copyMu must be
// held.
func (s *Server) publishMembers() {
	vms := make([]fleet.VM, 0, len(s.membersByKey))
	listed := false
	for _, key := range slices.Sorted(maps.Keys(s.membersByKey)) {
		vm := s.membersByKey[key]
		listed = listed || (vm.ID == s.settings.Self.ID && vm.Incarnation == s.settings.Self.Incarnation)
		vms = append(vms, vm)
	}
	if !listed {
		s.requestRelisting()
	}
	s.event(eventMembers).WithField("count", len(vms)).Info("list of entry VMs changed")
	s.setMembers(slices.Clone(vms))
	s.core.Post(&ingress.MembersChanged{VMs: vms})
}

// setMembers replaces the list of entry VMs. This VM is not on it while it is
// leaving.
func (s *Server) setMembers(vms []fleet.VM) {
	vms = slices.DeleteFunc(vms, func(vm fleet.VM) bool {
		return vm.ID == s.settings.Self.ID && s.leaving.Load()
	})
	s.members.Store(newMemberList(vms))
}

// member finds an entry VM by its id.
func (s *Server) member(id fleet.VMID) (fleet.VM, bool) {
	vm, known := s.members.Load().byID[id]
	return vm, known
}
