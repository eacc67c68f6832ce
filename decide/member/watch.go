package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// What a watch last reported about its remote.
const (
	reportedNothing = iota
	reportedReachable
	reportedUnreachable
)

// watch is this VM's duty to keep in touch with another domain or region.
type watch struct {
	remote       remote
	assigned     bool // by ranked hash; otherwise it verifies a claim
	seq          uint32
	waiting      bool
	urgent       bool // to be started at once
	fallbacksAsked     bool // further representatives have been asked
	askedVM        fleet.VMID
	deadline     clock.Time
	nextCandidate         int
	lastReported int
}

func (w *watch) extendDeadline(d time.Duration) {
	if w.waiting {
		w.deadline = w.deadline.Add(d)
	}
}

// extent is how far a result is published: for a domain of the own region to
// all, since a cut-off domain can't publish it itself; for a region in the own
// region; for the verification of a claim in the own domain.
func (w *watch) extent(s *State) extent {
	switch {
	case !w.assigned:
		return toDomain
	case w.remote.domain != "":
		return toAll
	default:
		return toRegion
	}
}

func compareRemotes(a, b remote) int {
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
	if !due && !s.reachChanged {
		return
	}
	s.reachChanged = false
	s.expireReachResults()
	s.assignWatches()
	if due {
		s.due.watch = s.now.Add(s.opts.WatchEvery)
	}
	for i := range s.watches {
		w := &s.watches[i]
		check := w.urgent || (w.lastReported == reportedNothing && s.anyReportsUnreachable(w.remote))
		if !w.waiting && (due || check) {
			s.startWatch(w, check, out)
		}
	}
}

func (s *State) nextWatch() clock.Time {
	next := s.due.watch
	if s.reachChanged {
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
		next = s.computeWatches()
	}
	for i := range next {
		at, ok := slices.BinarySearchFunc(s.watches, next[i].remote, func(w watch, rm remote) int {
			return compareRemotes(w.remote, rm)
		})
		if ok {
			kept := s.watches[at]
			kept.assigned = next[i].assigned
			next[i] = kept
		}
	}
	s.watches = next
}

// computeWatches returns the watches of this VM in order of their remotes.
func (s *State) computeWatches() []watch {
	reps := s.reps()
	if !slices.Contains(reps, s.self.vm.ID) {
		return nil
	}
	all := s.regionRepIDs(reps)
	var out []watch
	near, far := 0, 0
	for _, rm := range s.remotes() {
		w := watch{remote: rm}
		mine := false
		switch {
		case rm.domain == "":
			w.assigned = s.isAssigned(all, far)
			mine = s.isAssigned(reps, far)
			far++
		case rm.region == s.self.vm.Region:
			// From the last representative on: the first ones have more
			// of the regions where these don't come out even.
			w.assigned = s.isAssigned(reps, len(reps)-1-near%len(reps))
			near++
		default:
			mine = s.isAssigned(reps, near+far)
		}
		if w.assigned || (mine && s.anyReportsUnreachable(rm)) {
			out = append(out, w)
		}
	}
	return out
}

// regionRepIDs returns the representatives of all reachable domains of the own
// region, in order of id.
func (s *State) regionRepIDs(own []fleet.VMID) []fleet.VMID {
	all := slices.Clone(own)
	for _, vm := range s.otherDomainFirstReps(maxReps) {
		if s.domainReachable(vm.Region, vm.Domain) {
			all = append(all, vm.ID)
		}
	}
	slices.Sort(all)
	return all
}

// isAssigned reports whether watch number i is assigned to this VM, when watches
// are assigned round-robin over ids.
func (s *State) isAssigned(ids []fleet.VMID, i int) bool {
	return len(ids) > 0 && ids[i%len(ids)] == s.self.vm.ID
}

// remotes returns every other region and every other domain, in order.
func (s *State) remotes() []remote {
	var out []remote
	add := func(region fleet.Region, d fleet.Domain) {
		if d != s.self.vm.Domain {
			out = append(out, remote{region: region, domain: d})
		}
		if region != s.self.vm.Region {
			out = append(out, remote{region: region})
		}
	}
	for _, r := range s.rows {
		add(r.row.Region, r.row.Domain)
	}
	for i := range s.contacts {
		add(s.contacts[i].vm.Region, s.contacts[i].vm.Domain)
	}
	slices.SortFunc(out, compareRemotes)
	return slices.Compact(out)
}

// candidates returns whom a watch can ask. Contacts are used while no row of
// the remote is known.
func (s *State) candidates(rm remote) []fleet.VM {
	var out []fleet.VM
	if rm.domain == "" {
		out = s.regionReps(rm.region)
	} else if at, ok := s.findRow(rm.domain); ok {
		out = s.rows[at].row.reps()
	}
	if len(out) > 0 {
		return out
	}
	return s.contactsOf(rm)
}

// startWatch asks one representative after the other in turn. To check what
// others claim, it asks several at once, so that the answer is known sooner.
func (s *State) startWatch(w *watch, check bool, out *Ready) {
	c := s.candidates(w.remote)
	if len(c) == 0 {
		return
	}
	w.seq = s.nextSeq()
	w.waiting = true
	w.urgent = false
	w.fallbacksAsked = check
	w.deadline = s.now.Add(s.opts.WatchTimeout)
	to := c[w.nextCandidate%len(c)]
	w.askedVM = to.ID
	w.nextCandidate++
	s.sendWatch(w, to, out)
	if check {
		s.askFallbacks(w, out)
	}
}

func (s *State) sendWatch(w *watch, to fleet.VM, out *Ready) {
	s.send(to, &Watch{
		Seq:     w.seq,
		Region:  s.self.vm.Region,
		OwnRegionHash:     s.rowHashForRegion(s.self.vm.Region),
		RowsHash:    s.rowHashForRegion(s.comparedRegion(to.Region)),
		ReachResults: s.latestReachResults(to.Region != s.self.vm.Region),
	}, ScopeNone, out)
}

// comparedRegion names the rows that are compared with a VM of a region: inside
// the own region all, otherwise those of the region that is watched. Empty
// means all.
func (s *State) comparedRegion(region fleet.Region) fleet.Region {
	if region == s.self.vm.Region {
		return ""
	}
	return region
}

// watchOverdue asks further VMs, and if they time out as well records the
// remote as unreachable: one VM may have died, but hardly all of them.
func (s *State) watchOverdue(w *watch, out *Ready) {
	if w.fallbacksAsked {
		w.waiting = false
		if s.hasRow(w.remote) {
			s.recordReachResult(w, false)
		}
		return
	}
	w.fallbacksAsked = true
	w.deadline = s.now.Add(s.opts.WatchTimeout)
	s.askFallbacks(w, out)
}

func (s *State) askFallbacks(w *watch, out *Ready) {
	for _, vm := range s.fallbackVMs(w) {
		s.sendWatch(w, vm, out)
	}
}

// fallbackVMs returns further representatives and, at random, other VMs of the
// remote. Symptom without the latter: two domains that lost all their
// representatives while they were cut off from each other never reconnect,
// since each asks only the representatives that the other had.
func (s *State) fallbackVMs(w *watch) []fleet.VM {
	reps := s.candidates(w.remote)
	if len(reps) > 1 {
		reps = slices.DeleteFunc(reps, func(vm fleet.VM) bool { return vm.ID == w.askedVM })
	}
	out := slices.Clone(reps[:min(len(reps), watchFallbacks)])
	others := s.knownVMs(w.remote)
	s.shuffleVMs(others)
	return append(out, others[:min(len(others), watchFallbacks)]...)
}

// knownVMs returns all known VMs of a remote.
func (s *State) knownVMs(rm remote) []fleet.VM {
	var out []fleet.VM
	for _, r := range s.rows {
		if r.row.Region != rm.region || (rm.domain != "" && r.row.Domain != rm.domain) {
			continue
		}
		for _, v := range r.row.VMs {
			out = append(out, r.row.fleetVM(v))
		}
	}
	return append(out, s.contactsOf(rm)...)
}

func (s *State) contactsOf(rm remote) []fleet.VM {
	var out []fleet.VM
	for i := range s.contacts {
		vm := s.contacts[i].vm
		if vm.Region == rm.region && (rm.domain == "" || vm.Domain == rm.domain) {
			out = append(out, vm)
		}
	}
	return out
}

// hasRow reports whether a row of the remote is held. Without one it offers
// nothing that could be withdrawn.
func (s *State) hasRow(rm remote) bool {
	return slices.ContainsFunc(s.rows, func(r *storedRow) bool {
		return r.row.Region == rm.region && (rm.domain == "" || rm.domain == r.row.Domain)
	})
}

// handleWatch answers a Watch.
func (s *State) handleWatch(m *Message, b *Watch, out *Ready) {
	s.applyReachResults(b.ReachResults)
	to := s.replyAddress(m.From)
	near := b.Region == s.self.vm.Region
	a := &WatchAck{
		Seq:     b.Seq,
		RowsHash:    s.rowHashForRegion(s.self.vm.Region),
		ReachResults: s.latestReachResults(!near),
	}
	scope := ScopeFar
	if near {
		scope = ScopeRegion
		a.RowsHash = s.rowHash()
	}
	s.send(to, a, scope, out)
	if !near && b.OwnRegionHash != s.rowHashForRegion(b.Region) {
		s.requestRows(m.From, b.Region, out)
	}
}

func (s *State) handleWatchAck(m *Message, b *WatchAck, out *Ready) {
	s.applyReachResults(b.ReachResults)
	for i := range s.watches {
		w := &s.watches[i]
		if w.waiting && w.seq == b.Seq {
			w.waiting = false
			s.recordReachResult(w, true)
			s.compareRows(w, m.From, b.RowsHash, out)
		}
	}
}

// compareRows asks the watched VM for the rows in which it differs. Inside the
// region an update may still be in transit; from another region a difference
// means that a push was lost, or that its update is younger than the answer.
func (s *State) compareRows(w *watch, from fleet.VMID, rows uint32, out *Ready) {
	region := s.comparedRegion(w.remote.region)
	same := rows == s.rowHashForRegion(region)
	if region == "" {
		s.compareTables(from, same, out)
		return
	}
	if !same {
		s.requestRows(from, region, out)
	}
}
