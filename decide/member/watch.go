package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// The last result that a watch has recorded for its remote.
const (
	reportedNothing = iota
	reportedReachable
	reportedUnreachable
)

// watch is the periodic reachability check of another domain or region.
type watch struct {
	remote         remote
	assigned       bool // round-robin; otherwise it verifies another domain's result
	seq            uint32
	waiting        bool
	urgent         bool // start at once
	fallbacksAsked bool // further VMs of the remote have been asked
	askedVM        fleet.VMID
	deadline       clock.Time
	nextCandidate  int
	lastReported   int
}

func (w *watch) extendDeadline(d time.Duration) {
	if w.waiting {
		w.deadline = w.deadline.Add(d)
	}
}

// extent returns how far a result is published: about a domain of the own
// region to all regions, since a domain that is cut off can't publish it
// itself; about a region within the own region; the verification of another
// domain's result within the own domain.
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

// runWatches starts the exchanges that are due and handles overdue ones.
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
		verify := w.urgent || (w.lastReported == reportedNothing && s.anyReportsUnreachable(w.remote))
		if !w.waiting && (due || verify) {
			s.startWatch(w, verify, out)
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

// assignWatches updates the watches of this VM after changes of representatives
// or reachability results. Watches that stay keep their state.
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

// computeWatches returns the watches assigned to this VM in order of remote.
func (s *State) computeWatches() []watch {
	reps := s.reps()
	if !slices.Contains(reps, s.self.vm.ID) {
		return nil
	}
	all := s.regionRepIDs(reps)
	var out []watch
	domains, regions := 0, 0
	for _, rm := range s.remotes() {
		w := watch{remote: rm}
		mine := false
		switch {
		case rm.domain == "":
			w.assigned = s.isAssigned(all, regions)
			mine = s.isAssigned(reps, regions)
			regions++
		case rm.region == s.self.vm.Region:
			// Assigned from the last representative backwards: if the regions
			// don't divide evenly, the first ones watch more of them.
			w.assigned = s.isAssigned(reps, len(reps)-1-domains%len(reps))
			domains++
		default:
			mine = s.isAssigned(reps, domains+regions)
		}
		if w.assigned || (mine && s.anyReportsUnreachable(rm)) {
			out = append(out, w)
		}
	}
	return out
}

// regionRepIDs returns the ids of the representatives of all reachable domains
// of the own region, in order.
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

// isAssigned reports whether watch number i is assigned to this VM. Watches are
// assigned round-robin over ids.
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

// candidates returns the VMs that a watch can ask: the representatives of the
// remote or, while no row of it is known, its contacts.
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

// startWatch sends a Watch to the next representative in rotation. To verify
// another domain's result, it asks several VMs at once to get a result sooner.
func (s *State) startWatch(w *watch, verify bool, out *Ready) {
	c := s.candidates(w.remote)
	if len(c) == 0 {
		return
	}
	w.seq = s.nextSeq()
	w.waiting = true
	w.urgent = false
	w.fallbacksAsked = verify
	w.deadline = s.now.Add(s.opts.WatchTimeout)
	to := c[w.nextCandidate%len(c)]
	w.askedVM = to.ID
	w.nextCandidate++
	s.sendWatch(w, to, out)
	if verify {
		s.askFallbacks(w, out)
	}
}

func (s *State) sendWatch(w *watch, to fleet.VM, out *Ready) {
	s.send(to, &Watch{
		Seq:           w.seq,
		Region:        s.self.vm.Region,
		OwnRegionHash: s.rowHashForRegion(s.self.vm.Region),
		RowsHash:      s.rowHashForRegion(s.comparedRegion(to.Region)),
		ReachResults:  s.latestReachResults(to.Region != s.self.vm.Region),
	}, ScopeNone, out)
}

// comparedRegion returns the region whose rows are compared with those of a VM
// in the given region: that region itself or, within the own region, all
// regions, returned as empty.
func (s *State) comparedRegion(region fleet.Region) fleet.Region {
	if region == s.self.vm.Region {
		return ""
	}
	return region
}

// watchOverdue asks further VMs. If they time out as well, it records the
// remote as unreachable: a single VM may have died, but hardly all of them.
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

// fallbackVMs returns further representatives and random other VMs of the
// remote. Without the latter, two domains that lost all their representatives
// while they were cut off from each other would never reconnect, since each
// would ask only the representatives that the other had.
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

// hasRow reports whether a row of the remote is stored. Without one, the remote
// offers no VMs that could be withdrawn.
func (s *State) hasRow(rm remote) bool {
	return slices.ContainsFunc(s.rows, func(r *storedRow) bool {
		return r.row.Region == rm.region && (rm.domain == "" || rm.domain == r.row.Domain)
	})
}

// handleWatch answers a Watch, and requests the rows of the sender's region if
// they differ.
func (s *State) handleWatch(m *Message, b *Watch, out *Ready) {
	s.applyReachResults(b.ReachResults)
	to := s.replyAddress(m.From)
	sameRegion := b.Region == s.self.vm.Region
	a := &WatchAck{
		Seq:          b.Seq,
		RowsHash:     s.rowHashForRegion(s.self.vm.Region),
		ReachResults: s.latestReachResults(!sameRegion),
	}
	scope := ScopeOtherRegion
	if sameRegion {
		scope = ScopeRegion
		a.RowsHash = s.rowHash()
	}
	s.send(to, a, scope, out)
	if !sameRegion && b.OwnRegionHash != s.rowHashForRegion(b.Region) {
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

// compareRows requests rows that differ from the watched VM. Within the region
// an update may still be in transit, so a difference is tolerated for
// mismatchTolerance. From another region a difference means that a push was
// lost or that its update is newer than the answer, so the rows are requested
// at once.
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
