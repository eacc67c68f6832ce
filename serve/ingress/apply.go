package ingress

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/inbound"
)

// applyChanges turns changes of the copy into events. unsure says that removals may
// come from trouble of the store. copyMu must be held.
func (s *Server) applyChanges(changes []mirror.Change, unsure bool) {
	var targets, void ingress.TargetsChanged
	membersChanged := false
	for _, c := range changes {
		if strings.HasPrefix(c.Key, prefixMembers) {
			s.applyMember(c)
			membersChanged = true
			continue
		}
		if strings.HasPrefix(c.Key, prefixQuarantine) {
			s.applyQuarantine(c)
			continue
		}
		if !s.translates(c.Key) {
			continue
		}
		s.applyChange(c, &targets, &void)
	}
	if len(void.Removed) > 0 {
		s.core.Post(&void) // never unsure: nothing is wrong with the store
	}
	if len(targets.Set) > 0 || len(targets.Removed) > 0 {
		targets.StoreDegraded = unsure
		s.core.Post(&targets)
		s.logTargets(&targets)
	}
	if membersChanged {
		s.publishMembers()
	}
}

// maxTargetLines is the number of changed registrations up to which each has a
// line of its own. A start finds all of them at once, and a release some dozens
// a second: a line for each, on every VM, cost more than reading them.
const maxTargetLines = 4

// logTargets writes what has changed among the registrations.
func (s *Server) logTargets(ev *ingress.TargetsChanged) {
	if len(ev.Set)+len(ev.Removed) > maxTargetLines {
		s.logManyTargets(ev)
		return
	}
	for i := range ev.Set {
		t := &ev.Set[i]
		s.event(eventTarget).WithField("target", t.ID).WithField("domain", t.Domain).WithField("draining", t.Draining).
			WithField("cold_ms", t.Cold.Milliseconds()).WithField("revision", s.copy.AsOf()).Info("registered")
	}
	for _, id := range ev.Removed {
		s.event(eventTarget).WithField("target", id).WithField("revision", s.copy.AsOf()).Info("registration is gone")
	}
}

// maxLoggedTargets bounds the targets that one line names.
const maxLoggedTargets = 64

// logManyTargets writes one line for many registrations. It names those that
// are leaving or gone: they are what a failed request may have met.
func (s *Server) logManyTargets(ev *ingress.TargetsChanged) {
	var draining []fleet.TargetID
	for i := range ev.Set {
		if ev.Set[i].Draining {
			draining = append(draining, ev.Set[i].ID)
		}
	}
	s.event(eventTarget).WithField("registered", len(ev.Set)).WithField("draining", len(draining)).WithField("gone", len(ev.Removed)).
		WithField("draining_targets", draining[:min(len(draining), maxLoggedTargets)]).
		WithField("gone_targets", ev.Removed[:min(len(ev.Removed), maxLoggedTargets)]).
		WithField("unsure", ev.StoreDegraded).WithField("revision", s.copy.AsOf()).Info("registrations changed")
}

// translates reports whether a key is one that the translator decodes.
func (s *Server) translates(key string) bool {
	for _, p := range s.settings.Translate.Prefixes() {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// applyChange decodes one change and adds what it says of a target to targets, or
// to void if its registration can't be believed. A configuration that can't be
// decoded changes nothing: the last good one stays in force.
func (s *Server) applyChange(c mirror.Change, targets, void *ingress.TargetsChanged) {
	d, err := s.settings.Translate.Change(c)
	line := func(event string) *logrus.Entry {
		return s.event(event).WithField("key", c.Key).WithField("revision", c.Revision)
	}
	for _, defect := range d.Defects {
		line(eventStore).WithError(defect).Error("part of a value in the store is not understood")
	}
	switch {
	case err != nil:
		line(eventStore).WithError(err).Error("value in the store cannot be decoded")
	case d.Configured != nil:
		s.applyConfig(d.Configured)
		line(eventConfig).WithField("version", s.configVersion()).Info("configuration is in force")
	case d.Evacuated != nil:
		s.core.Post(d.Evacuated)
		line(eventEvacuate).WithField("domain", d.Evacuated.Domain).WithField("begin", d.Evacuated.Begin).Info("evacuation changed")
	case d.TargetSet != nil:
		targets.Set = append(targets.Set, *d.TargetSet)
	case d.TargetInvalid != "":
		void.Removed = append(void.Removed, d.TargetInvalid)
		line(eventTarget).WithField("target", d.TargetInvalid).Warn("registration names no target")
	case d.TargetGone != "":
		targets.Removed = append(targets.Removed, d.TargetGone)
	}
}

// applyConfig puts a configuration in force.
func (s *Server) applyConfig(ev *ingress.Configured) {
	l := ev.Table.Config.Limits
	limits := inbound.Limits{
		HeadBytes:   orDefault(l.HeadBytes, defaultHeadBytes),
		BodyBytes:   min(orDefault(l.BodyBytes, defaultBodyBytes), maxBodyBytes),
		ReadTimeout: orDefault(l.HeadTimeout, defaultReadTimeout),
		BodyTimeout: bodyTimeout,
		IdleTimeout: orDefault(l.IdleTimeout, defaultIdleTimeout),
	}
	s.callerServer.SetLimits(limits)
	s.core.Post(ev)
	s.table.Store(ev.Table)
}

// configVersion returns that of the configuration in force; 0: none yet.
func (s *Server) configVersion() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// orDefault returns v, or otherwise if v is not set.
func orDefault[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}
