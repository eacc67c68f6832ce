package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// What a watcher last said about its item.
const (
	saidNothing = iota
	saidReachable
	saidUnreachable
)

// watch is this VM's duty to keep in touch with another domain or region.
type watch struct {
	item     item
	assigned bool // by ranked hash; otherwise it verifies a claim
	seq      uint32
	waiting  bool
	urgent   bool // to be started at once
	fallback bool // further representatives have been asked
	asked    fleet.VMID
	deadline clock.Time
	turn     int
	lastSaid int
}

func (w *watch) delay(d time.Duration) {
	if w.waiting {
		w.deadline = w.deadline.Add(d)
	}
}

// extent is how far a finding is told: that a neighbour is unreachable, to
// all, since it may be unable to say so itself; that a region is, in the own
// region; the check of others' claim, in the own domain.
func (w *watch) extent(s *State) extent {
	switch {
	case !w.assigned:
		return toDomain
	case w.item.domain != "":
		return toAll
	default:
		return toRegion
	}
}

func compareItems(a, b item) int {
	if c := cmp.Compare(a.region, b.region); c != 0 {
		return c
	}
	return cmp.Compare(a.domain, b.domain)
}

// runWatches starts the exchanges that are due and moves overdue ones on.
func (s *State) runWatches(out *Ready) {
	for i := range s.watches {
		w := &s.watches[i]
		if w.waiting && w.deadline <= s.now {
			s.watchOverdue(w, out)
		}
	}
	due := s.due.watch <= s.now
	if !due && !s.claims {
		return
	}
	s.claims = false
	s.expireReaches()
	s.assignWatches()
	if due {
		s.due.watch = s.now.Add(s.o.WatchEvery)
	}
	for i := range s.watches {
		w := &s.watches[i]
		check := w.urgent || (w.lastSaid == saidNothing && s.claimed(w.item))
		if !w.waiting && (due || check) {
			s.startWatch(w, check, out)
		}
	}
}

func (s *State) nextWatch() clock.Time {
	next := s.due.watch
	if s.claims {
		next = s.now
	}
	for i := range s.watches {
		if s.watches[i].waiting {
			next = clock.Min(next, s.watches[i].deadline)
		}
	}
	return next
}

// assignWatches brings the duties in line with the present representatives
// and claims.
func (s *State) assignWatches() {
	var next []watch
	if s.joined {
		next = s.duties()
	}
	for i := range next {
		at, ok := slices.BinarySearchFunc(s.watches, next[i].item, func(w watch, it item) int {
			return compareItems(w.item, it)
		})
		if ok {
			kept := s.watches[at]
			kept.assigned = next[i].assigned
			next[i] = kept
		}
	}
	s.watches = next
}

// duties returns the watches of this VM in order of their items.
func (s *State) duties() []watch {
	reps := s.reps()
	if !slices.Contains(reps, s.self.vm.ID) {
		return nil
	}
	all := slices.Clone(reps)
	for _, vm := range s.neighbours(maxReps) {
		if s.domainReachable(vm.Region, vm.Domain) {
			all = append(all, vm.ID)
		}
	}
	slices.Sort(all)
	var out []watch
	near, far := 0, 0
	for _, it := range s.items() {
		w := watch{item: it}
		mine := false
		switch {
		case it.domain == "":
			w.assigned = s.turnOf(all, far)
			mine = s.turnOf(reps, far)
			far++
		case it.region == s.self.vm.Region:
			// From the last representative on: the first ones have more
			// of the regions where these don't come out even.
			w.assigned = s.turnOf(reps, len(reps)-1-near%len(reps))
			near++
		default:
			mine = s.turnOf(reps, near+far)
		}
		if w.assigned || (mine && s.claimed(it)) {
			out = append(out, w)
		}
	}
	return out
}

// turnOf reports whether duty number i falls to this VM, when the duties go
// round among ids.
func (s *State) turnOf(ids []fleet.VMID, i int) bool {
	return len(ids) > 0 && ids[i%len(ids)] == s.self.vm.ID
}

// items returns every other region and every other domain, in order.
func (s *State) items() []item {
	var out []item
	add := func(region fleet.Region, d fleet.Domain) {
		if d != s.self.vm.Domain {
			out = append(out, item{region: region, domain: d})
		}
		if region != s.self.vm.Region {
			out = append(out, item{region: region})
		}
	}
	for _, r := range s.rows {
		add(r.row.Region, r.row.Domain)
	}
	for i := range s.contacts {
		add(s.contacts[i].vm.Region, s.contacts[i].vm.Domain)
	}
	slices.SortFunc(out, compareItems)
	return slices.Compact(out)
}

// candidates returns whom a watch can ask. Contacts serve while no row of the
// item is known.
func (s *State) candidates(it item) []fleet.VM {
	var out []fleet.VM
	if it.domain == "" {
		out = s.regionReps(it.region)
	} else if at, ok := s.findRow(it.domain); ok {
		out = s.rows[at].row.reps()
	}
	if len(out) > 0 {
		return out
	}
	return s.contactsOf(it)
}

// startWatch asks one representative after the other in turn. To check what
// others claim, it asks several at once, so that the answer is known sooner.
func (s *State) startWatch(w *watch, check bool, out *Ready) {
	c := s.candidates(w.item)
	if len(c) == 0 {
		return
	}
	w.seq = s.nextSeq()
	w.waiting = true
	w.urgent = false
	w.fallback = check
	w.deadline = s.now.Add(s.o.WatchTimeout)
	to := c[w.turn%len(c)]
	w.asked = to.ID
	w.turn++
	s.sendWatch(w, to, out)
	if check {
		s.askFallbacks(w, out)
	}
}

func (s *State) sendWatch(w *watch, to fleet.VM, out *Ready) {
	s.send(to, &Watch{
		Seq:     w.seq,
		Region:  s.self.vm.Region,
		Own:     s.rowHashOf(s.self.vm.Region),
		Rows:    s.rowHashOf(s.commonRows(to.Region)),
		Reaches: s.carriedReaches(to.Region != s.self.vm.Region),
	}, ScopeNone, out)
}

// commonRows names the rows that are compared with a VM of a region: inside
// the own region all, otherwise those of the region that is watched. Empty
// means all.
func (s *State) commonRows(region fleet.Region) fleet.Region {
	if region == s.self.vm.Region {
		return ""
	}
	return region
}

// watchOverdue asks further VMs, and after those gives the item up as
// unreachable: one VM that doesn't answer may have died, hardly all of them.
func (s *State) watchOverdue(w *watch, out *Ready) {
	if w.fallback {
		w.waiting = false
		if s.known(w.item) {
			s.measured(w, false)
		}
		return
	}
	w.fallback = true
	w.deadline = s.now.Add(s.o.WatchTimeout)
	s.askFallbacks(w, out)
}

func (s *State) askFallbacks(w *watch, out *Ready) {
	for _, vm := range s.fallbacks(w) {
		s.sendWatch(w, vm, out)
	}
}

// fallbacks returns further representatives and, at random, other VMs of the
// item. Symptom without the latter: two domains that lost all their
// representatives while they were cut off from each other never meet again,
// since each asks only for those that the other had.
func (s *State) fallbacks(w *watch) []fleet.VM {
	reps := s.candidates(w.item)
	if len(reps) > 1 {
		reps = slices.DeleteFunc(reps, func(vm fleet.VM) bool { return vm.ID == w.asked })
	}
	out := slices.Clone(reps[:min(len(reps), watchFallbacks)])
	others := s.everyone(w.item)
	s.shuffleVMs(others)
	return append(out, others[:min(len(others), watchFallbacks)]...)
}

// everyone returns all known VMs of an item.
func (s *State) everyone(it item) []fleet.VM {
	var out []fleet.VM
	for _, r := range s.rows {
		if r.row.Region != it.region || (it.domain != "" && r.row.Domain != it.domain) {
			continue
		}
		for _, v := range r.row.VMs {
			out = append(out, r.row.vm(v))
		}
	}
	return append(out, s.contactsOf(it)...)
}

func (s *State) contactsOf(it item) []fleet.VM {
	var out []fleet.VM
	for i := range s.contacts {
		vm := s.contacts[i].vm
		if vm.Region == it.region && (it.domain == "" || vm.Domain == it.domain) {
			out = append(out, vm)
		}
	}
	return out
}

// known reports whether a row tells of the item. Without one it offers
// nothing that could be withdrawn.
func (s *State) known(it item) bool {
	return slices.ContainsFunc(s.rows, func(r *rowState) bool {
		return r.row.Region == it.region && (it.domain == "" || it.domain == r.row.Domain)
	})
}

// watched answers a Watch.
func (s *State) watched(m *Message, b *Watch, out *Ready) {
	s.applyReaches(b.Reaches)
	to, ok := s.address(m.From)
	if !ok {
		to = fleet.VM{ID: m.From}
	}
	near := b.Region == s.self.vm.Region
	a := &WatchAck{
		Seq:     b.Seq,
		Rows:    s.rowHashOf(s.self.vm.Region),
		Reaches: s.carriedReaches(!near),
	}
	scope := ScopeFar
	if near {
		scope = ScopeRegion
		a.Rows = s.rowHash()
	}
	s.send(to, a, scope, out)
	if !near && b.Own != s.rowHashOf(b.Region) {
		s.askRows(m.From, b.Region, out)
	}
}

func (s *State) watchAck(m *Message, b *WatchAck, out *Ready) {
	s.applyReaches(b.Reaches)
	for i := range s.watches {
		w := &s.watches[i]
		if w.waiting && w.seq == b.Seq {
			w.waiting = false
			s.measured(w, true)
			s.compareRows(w, m.From, b.Rows, out)
		}
	}
}

// compareRows asks the watched VM for the rows in which it differs. Inside
// the region news may still be in transit; from another region a difference
// means that a push was lost, or that its news are younger than the answer.
func (s *State) compareRows(w *watch, from fleet.VMID, rows uint32, out *Ready) {
	region := s.commonRows(w.item.region)
	same := rows == s.rowHashOf(region)
	if region == "" {
		s.compareTables(from, same, out)
		return
	}
	if !same {
		s.askRows(from, region, out)
	}
}
