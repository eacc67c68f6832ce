package machine

import (
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// compareShown compares what the platform shows now with the list in force.
func (s *State) compareShown() {
	c := s.platform.shown
	if c == nil {
		return
	}
	if s.held == nil {
		s.adoptShown(0)
		return
	}
	held := s.held.point
	switch {
	case c.point.Version > held.Version:
		s.adoptShown(held.Epoch)
	case c.point.Version < held.Version:
		s.lower(held)
	case c.point.Hash != held.Hash:
		// A platform never gives one version two contents, unless it was
		// restored and has reached the same number again.
		s.adoptShown(held.Epoch + 1)
	default:
		s.platform.lower = clock.Never
		s.confirmedAt = s.now
	}
}

// lower starts a new epoch if the platform has shown lower versions throughout
// LowerFor, and the list in force to no reader. A single lower version is no
// proof: a paused reader or a delayed answer shows one too. Nor are lower
// versions at one reader: a stalled replica of the platform shows them
// permanently, while other readers see newer ones.
func (s *State) lower(held Point) {
	p := &s.platform
	gap := s.now.Sub(p.seen)
	p.seen = s.now
	if p.lower == clock.Never || p.below != held || gap > LowerGap {
		p.lower, p.below = s.now, held
		return
	}
	confirmed := s.confirmedAt != 0 && s.now.Sub(s.confirmedAt) < LowerFor
	if s.now.Sub(p.lower) >= LowerFor && !confirmed {
		s.adoptShown(held.Epoch + 1)
	}
}

// adoptShown puts in force what the platform shows, and makes this daemon the
// root of a push.
func (s *State) adoptShown(epoch uint64) {
	c := *s.platform.shown
	c.point.Epoch = epoch
	s.platform.lower = clock.Never
	before := s.held
	s.adopt(&c)
	s.confirmedAt = s.now
	s.originate(before)
}

// adopt puts a content in force.
func (s *State) adopt(c *content) {
	before := s.held
	s.held = c
	s.confirmedAt = 0
	s.changed = true
	if before == nil {
		return
	}
	s.history = append(s.history, before)
	s.history = s.history[max(len(s.history)-maxHistory, 0):]
	grace := Grace
	if c.point.Epoch != before.point.Epoch {
		grace = EpochGrace
	}
	for _, t := range before.targets {
		if t.State == fleet.Live {
			s.retained = append(s.retained, retainedTarget{target: t, until: s.now.Add(grace)})
		}
	}
	s.retained = slices.DeleteFunc(s.retained, func(k retainedTarget) bool { return c.replaces(&k.target) })
}

// replaces reports whether c holds a target, or another one at its address.
func (c *content) replaces(t *fleet.Target) bool {
	return slices.ContainsFunc(c.targets, func(n fleet.Target) bool {
		return n.ID == t.ID || n.Addr == t.Addr
	})
}

// expireRetained drops the targets whose grace is over.
func (s *State) expireRetained() {
	n := len(s.retained)
	s.retained = slices.DeleteFunc(s.retained, func(k retainedTarget) bool { return k.until <= s.now })
	s.changed = s.changed || len(s.retained) != n
}

// list returns what is in force.
func (s *State) list() *fleet.List {
	l := &fleet.List{Version: s.held.point.Version, VMs: s.held.vms, Targets: slices.Clone(s.held.targets)}
	for _, k := range s.retained {
		l.Targets = append(l.Targets, k.target)
	}
	slices.SortFunc(l.Targets, func(a, b fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
