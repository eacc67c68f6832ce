package machine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
)

// domainList is the part of one version of the platform's list that a domain
// needs: all entry VMs and the domain's targets. It is immutable.
type domainList struct {
	version ListVersion
	vms     []fleet.VM     // in order of id
	targets []fleet.Target // in order of id
}

// newDomainList returns a domain's part of a list. Entries without an id and
// duplicates of an id are left out.
func newDomainList(list fleet.List, own fleet.Domain) *domainList {
	l := &domainList{vms: slices.Clone(list.VMs)}
	for _, t := range list.Targets {
		if t.Domain == own {
			l.targets = append(l.targets, t)
		}
	}
	l.sort()
	l.version = ListVersion{Version: list.Version, Hash: l.hash()}
	return l
}

func (l *domainList) sort() {
	slices.SortStableFunc(l.vms, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(l.targets, func(a, b fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	l.vms = slices.CompactFunc(l.vms, func(a, b fleet.VM) bool { return a.ID == b.ID })
	l.targets = slices.CompactFunc(l.targets, func(a, b fleet.Target) bool { return a.ID == b.ID })
	l.vms = slices.DeleteFunc(l.vms, func(v fleet.VM) bool { return v.ID == "" })
	l.targets = slices.DeleteFunc(l.targets, func(t fleet.Target) bool { return t.ID == "" })
}

// hasher computes a hash over the fields of entries.
type hasher struct{ xxhash.Digest }

func (h *hasher) addString(s string) {
	h.addUint64(uint64(len(s)))
	_, _ = h.WriteString(s)
}

func (h *hasher) addUint64(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

func (l *domainList) hash() uint64 {
	var h hasher
	h.Reset()
	for i := range l.vms {
		v := &l.vms[i]
		for _, s := range []string{string(v.ID), string(v.Region), string(v.Domain), string(v.Site), v.CallAddr, v.PeerAddr, v.AdminAddr} {
			h.addString(s)
		}
		h.addUint64(uint64(v.Incarnation))
		h.addUint64(uint64(v.State))
	}
	h.addUint64(uint64(len(l.vms)))
	for i := range l.targets {
		t := &l.targets[i]
		for _, s := range []string{string(t.ID), string(t.Service), string(t.Region), string(t.Domain), string(t.Site), t.Addr} {
			h.addString(s)
		}
		h.addUint64(uint64(t.Slots))
		h.addUint64(uint64(t.Connections))
		h.addUint64(uint64(t.State))
	}
	return h.Sum64()
}

// newDelta returns the difference between two lists, and whether it is small
// enough for one message.
func newDelta(from, to *domainList) (*Delta, bool) {
	d := &Delta{From: from.version, To: to.version}
	diff(from.vms, to.vms, func(v *fleet.VM) fleet.VMID { return v.ID }, &d.VMs, &d.RemovedVMs)
	diff(from.targets, to.targets, func(t *fleet.Target) fleet.TargetID { return t.ID }, &d.Targets, &d.RemovedTargets)
	return d, d.entries() <= MaxDeltaEntries
}

// diff appends the entries of b that are new or differ from a to changed, and
// the ids of the entries that b lacks to removed. a and b are in order of id.
func diff[E comparable, ID cmp.Ordered](a, b []E, id func(*E) ID, changed *[]E, removed *[]ID) {
	i := 0
	for j := range b {
		for i < len(a) && id(&a[i]) < id(&b[j]) {
			*removed = append(*removed, id(&a[i]))
			i++
		}
		same := i < len(a) && id(&a[i]) == id(&b[j])
		if !same || a[i] != b[j] {
			*changed = append(*changed, b[j])
		}
		if same {
			i++
		}
	}
	for ; i < len(a); i++ {
		*removed = append(*removed, id(&a[i]))
	}
}

// apply returns the result of applying d to l. It returns false if l is not
// the base of d or the result doesn't have the stated hash, for example because
// an entry is damaged.
func (l *domainList) apply(d *Delta) (*domainList, bool) {
	if l.version != d.From {
		return nil, false
	}
	replacedVM := func(v fleet.VM) bool {
		return slices.Contains(d.RemovedVMs, v.ID) ||
			slices.ContainsFunc(d.VMs, func(n fleet.VM) bool { return n.ID == v.ID })
	}
	replacedTarget := func(t fleet.Target) bool {
		return slices.Contains(d.RemovedTargets, t.ID) ||
			slices.ContainsFunc(d.Targets, func(n fleet.Target) bool { return n.ID == t.ID })
	}
	next := &domainList{
		vms:     append(slices.DeleteFunc(slices.Clone(l.vms), replacedVM), d.VMs...),
		targets: append(slices.DeleteFunc(slices.Clone(l.targets), replacedTarget), d.Targets...),
	}
	next.sort()
	next.version = d.To
	return next, next.hash() == d.To.Hash
}

// parts splits l into messages. It returns nil if there would be more than
// MaxParts.
func (l *domainList) parts() []*Part {
	var out []*Part
	for vms := range slices.Chunk(l.vms, MaxPartEntries) {
		out = append(out, &Part{VMs: vms})
	}
	for targets := range slices.Chunk(l.targets, MaxPartEntries) {
		out = append(out, &Part{Targets: targets})
	}
	if len(out) == 0 {
		out = append(out, &Part{})
	}
	if len(out) > MaxParts {
		return nil
	}
	for i, p := range out {
		p.Held, p.Part, p.Parts = l.version, uint32(i), uint32(len(out))
	}
	return out
}

// assembly collects the parts of one list.
type assembly struct {
	version  ListVersion
	parts    []*Part
	received int
}

// add adds a part. It returns the list once it is complete and matches its
// hash, otherwise nil.
func (a *assembly) add(p *Part) *domainList {
	if a.version != p.Held || len(a.parts) != int(p.Parts) {
		*a = assembly{version: p.Held, parts: make([]*Part, p.Parts)}
	}
	if a.parts[p.Part] == nil {
		a.received++
	}
	a.parts[p.Part] = p
	if a.received < len(a.parts) {
		return nil
	}
	l := &domainList{version: a.version}
	for _, p := range a.parts {
		l.vms = append(l.vms, p.VMs...)
		l.targets = append(l.targets, p.Targets...)
	}
	*a = assembly{}
	l.sort()
	if l.hash() != l.version.Hash {
		return nil
	}
	return l
}
