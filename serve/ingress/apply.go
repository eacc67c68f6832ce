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

// applyChanges turns changes of the copy into events. storeDegraded means that
// removals may result from a failure of the store. copyMu must be held.
func (s *Server) applyChanges(changes []mirror.Change, storeDegraded bool) {
	var targets, invalid ingress.TargetsChanged
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
		s.applyChange(c, &targets, &invalid)
	}
	if len(invalid.Removed) > 0 {
		s.core.Post(&invalid) // StoreDegraded is false: the store itself has not failed
	}
	if len(targets.Updated) > 0 || len(targets.Removed) > 0 {
		targets.StoreDegraded = storeDegraded
		s.core.Post(&targets)
		s.logTargets(&targets)
	}
	if membersChanged {
		s.publishMembers()
	}
}

// maxTargetLines is the number of changed registrations up to which each is
// logged on its own line. A VM that starts reads all of them at once, and during
// a release some dozens change per second; logging each of them on every VM cost
// more than reading them.
const maxTargetLines = 4

// logTargets logs changed registrations.
func (s *Server) logTargets(ev *ingress.TargetsChanged) {
	if len(ev.Updated)+len(ev.Removed) > maxTargetLines {
		s.logManyTargets(ev)
		return
	}
	for i := range ev.Updated {
		t := &ev.Updated[i]
		s.event(eventTarget).WithField("target", t.ID).WithField("domain", t.Domain).WithField("draining", t.Draining).
			WithField("cold_ms", t.Cold.Milliseconds()).WithField("revision", s.copy.At().Revision).Info("registered")
	}
	for _, id := range ev.Removed {
		s.event(eventTarget).WithField("target", id).WithField("revision", s.copy.At().Revision).Info("registration removed")
	}
}

// maxLoggedTargets is the maximum number of targets listed in one log line.
const maxLoggedTargets = 64

// logManyTargets logs many registrations in one line. It lists the targets that
// are draining or gone, because a failed request may have been sent to one of
// them.
func (s *Server) logManyTargets(ev *ingress.TargetsChanged) {
	var draining []fleet.TargetID
	for i := range ev.Updated {
		if ev.Updated[i].Draining {
			draining = append(draining, ev.Updated[i].ID)
		}
	}
	s.event(eventTarget).WithField("registered", len(ev.Updated)).WithField("draining", len(draining)).WithField("gone", len(ev.Removed)).
		WithField("draining_targets", draining[:min(len(draining), maxLoggedTargets)]).
		WithField("gone_targets", ev.Removed[:min(len(ev.Removed), maxLoggedTargets)]).
		WithField("unsure", ev.StoreDegraded).WithField("revision", s.copy.At().Revision).Info("registrations changed")
}

// translates reports whether the translator decodes a key.
func (s *Server) translates(key string) bool {
	for _, p := range s.settings.Translate.Prefixes() {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// applyChange decodes one change. It adds a changed target to targets, and a
// target whose registration is invalid to invalid. A configuration that cannot
// be decoded changes nothing: the last valid one stays in force.
func (s *Server) applyChange(c mirror.Change, targets, invalid *ingress.TargetsChanged) {
	d, err := s.settings.Translate.Change(c)
	line := func(event string) *logrus.Entry {
		return s.event(event).WithField("key", c.Key).WithField("revision", c.Revision)
	}
	s.metrics.defects.Add(int64(len(d.Defects)))
	for _, defect := range d.Defects {
		line(eventStore).WithError(defect).Error("part of a value in the store is invalid")
	}
	switch {
	case err != nil:
		line(eventStore).WithError(err).Error("value in the store cannot be decoded")
	case d.Configured != nil:
		s.applyConfig(d.Configured, line(eventConfig))
	case d.Evacuated != nil:
		s.core.Post(d.Evacuated)
		line(eventEvacuate).WithField("domain", d.Evacuated.Domain).WithField("begin", d.Evacuated.Begin).Info("evacuation changed")
	case d.TargetUpdated != nil:
		targets.Updated = append(targets.Updated, *d.TargetUpdated)
	case d.TargetInvalid != "":
		invalid.Removed = append(invalid.Removed, d.TargetInvalid)
		line(eventTarget).WithField("target", d.TargetInvalid).Warn("invalid registration: target is not used")
	case d.TargetRemoved != "":
		targets.Removed = append(targets.Removed, d.TargetRemoved)
	}
}

// applyConfig puts a configuration in force unless it is older than the one that is.
func (s *Server) applyConfig(ev *ingress.Configured, line *logrus.Entry) {
	version := ev.Table.Config.Version
	if version < s.configVersion() {
		line.WithField("version", version).WithField("in_force", s.configVersion()).Warn("configuration is older than the one in force: ignored")
		return
	}
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
	line.WithField("version", version).Info("configuration is in force")
}

// configVersion returns the version of the configuration in force, 0 if there is
// none yet.
func (s *Server) configVersion() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// orDefault returns v, or def if v is not set.
func orDefault[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
