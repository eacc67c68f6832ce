package machine

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// compareShown compares the list that the platform shows with the one in force.
func (s *State) compareShown() {
	l := s.platform.shown
	if l == nil {
		return
	}
	if s.held == nil {
		s.adoptShown(0)
		return
	}
	held := s.held.version
	switch {
	case l.version.Version > held.Version:
		s.adoptShown(held.Epoch)
	case l.version.Version < held.Version:
		s.checkLowerVersion(held)
	case l.version.Hash != held.Hash:
		// The platform uses a version number for two contents only if it was
		// restored and has reached the same number again.
		s.adoptShown(held.Epoch + 1)
	default:
		s.platform.lowerSince = clock.Never
		s.confirmedAt = s.now
	}
}

// checkLowerVersion starts a new epoch if the platform has shown lower
// versions throughout LowerVersionFor and meanwhile has not shown the list in
// force to any reader. A single lower version doesn't prove that the platform
// was restored: a paused reader or a delayed answer causes one too. Lower
// versions at one reader don't prove it either: a stalled replica of the
// platform shows them permanently, while other readers get newer ones.
func (s *State) checkLowerVersion(held ListVersion) {
	p := &s.platform
	gap := s.now.Sub(p.lastLowerAt)
	p.lastLowerAt = s.now
	if p.lowerSince == clock.Never || p.lowerThan != held || gap > LowerVersionGap {
		p.lowerSince, p.lowerThan = s.now, held
		return
	}
	confirmed := s.confirmedAt != 0 && s.now.Sub(s.confirmedAt) < LowerVersionFor
	if s.now.Sub(p.lowerSince) >= LowerVersionFor && !confirmed {
		s.adoptShown(held.Epoch + 1)
	}
}

// adoptShown puts the list that the platform shows in force, and schedules a
// push of it.
func (s *State) adoptShown(epoch uint64) {
	l := *s.platform.shown
	l.version.Epoch = epoch
	s.platform.lowerSince = clock.Never
	before := s.held
	s.adopt(&l)
	s.confirmedAt = s.now
	s.schedulePush(before)
}

// adopt puts a list in force. Live targets that it lacks are retained for a
// grace period.
func (s *State) adopt(l *domainList) {
	before := s.held
	s.held = l
	s.confirmedAt = 0
	s.listChanged = true
	if before == nil {
		return
	}
	s.history = append(s.history, before)
	s.history = s.history[max(len(s.history)-maxHistory, 0):]
	grace := TargetGrace
	if l.version.Epoch != before.version.Epoch {
		grace = NewEpochGrace
	}
	for _, t := range before.targets {
		if t.State == fleet.Live {
			s.retained = append(s.retained, retainedTarget{target: t, until: s.now.Add(grace)})
		}
	}
	s.retained = slices.DeleteFunc(s.retained, func(r retainedTarget) bool { return l.hasReplacement(&r.target) })
}

// hasReplacement reports whether l lists t, or another target at the address of
// t.
func (l *domainList) hasReplacement(t *fleet.Target) bool {
	return slices.ContainsFunc(l.targets, func(n fleet.Target) bool {
		return n.ID == t.ID || n.Addr == t.Addr
	})
}

// expireRetained drops the retained targets whose grace period has ended.
func (s *State) expireRetained() {
	n := len(s.retained)
	s.retained = slices.DeleteFunc(s.retained, func(r retainedTarget) bool { return r.until <= s.now })
	s.listChanged = s.listChanged || len(s.retained) != n
}

// effectiveList returns the list in force including the retained targets.
func (s *State) effectiveList() *fleet.List {
	l := &fleet.List{Version: s.held.version.Version, VMs: s.held.vms, Targets: slices.Clone(s.held.targets)}
	for _, r := range s.retained {
		l.Targets = append(l.Targets, r.target)
	}
	slices.SortFunc(l.Targets, func(a, b fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
