package ingress

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/reader"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/kv"
)

const (
	// watchWait is how long the store may hold a watch. An answer may be lost on
	// a connection that is alive; the change in it is seen after that time and
	// the client's own margin.
	watchWait = 2 * time.Second
	// watchPause lets changes that come together be read by one call. Calls are
	// priced, and a fleet of 85 made 4,647 of them in a minute with half of this
	// pause. Targets that leave still serve for seconds.
	watchPause = 400 * time.Millisecond
	// retryPause is the time between calls to a store that fails them.
	retryPause = 400 * time.Millisecond
)

// prefixMembers holds one key for each live entry VM, under its lease.
const prefixMembers = "azurethread/vm/"

// everything is the prefix of all keys. One watch of all of them costs a third
// of three, and almost every change concerns this VM.
const everything = ""

// follow keeps the copy of the store up to date and turns its changes into
// events.
func (s *Server) follow() {
	s.askRelay() // a neighbour may answer sooner than the store, or it alone
	for s.ctx.Err() == nil {
		if s.followReader() {
			s.pause(reader.Interval)
			continue
		}
		changed, err := s.read()
		switch {
		case err != nil:
			s.storeFailed(err)
			s.askRelay()
			s.pause(retryPause)
		case changed:
			s.storeAnswered()
			s.pause(watchPause)
		default:
			s.storeAnswered()
		}
	}
}

// read brings the copy up to date: by a full read at the start and when the
// store has dropped the history, and otherwise by a watch.
func (s *Server) read() (changed bool, err error) {
	s.copyMu.Lock()
	valid, asOf := s.copy.Valid(), s.copy.AsOf()
	s.copyMu.Unlock()
	if valid {
		c, err := s.store.Watch(s.ctx, everything, asOf, watchWait)
		if err == nil {
			return s.take(func() []mirror.Change { return s.copy.Apply(c.Events, c.AsOf) }), nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			return false, err
		}
		s.event(eventStore).WithField("revision", asOf).Warn("store has dropped its history; reading everything")
	}
	snap, err := s.store.Range(s.ctx, everything)
	if err != nil {
		return false, err
	}
	return s.take(func() []mirror.Change {
		changes, _ := s.copy.Replace(snap.Items, snap.AsOf)
		return changes
	}), nil
}

// take changes the copy and turns the changes into events, in this order for
// all sources.
func (s *Server) take(change func() []mirror.Change) (changed bool) {
	s.copyMu.Lock()
	defer s.copyMu.Unlock()
	changes := change()
	if len(changes) > 0 {
		s.apply(changes, s.storeUnsure())
	}
	return len(changes) > 0
}

func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// storeFailed and storeAnswered note whether the store can be reached.
func (s *Server) storeFailed(err error) {
	if s.ctx.Err() != nil {
		return
	}
	if !s.storeLost.Swap(true) {
		s.event(eventStore).WithError(err).Warn("store is not reachable")
	}
	s.storeTrouble.Store(int64(s.now()))
	s.storeFailures.Add(1)
}

// heardAt notes that what is known was the store's word at an instant.
func (s *Server) heardAt(at clock.Time) {
	if at > clock.Time(s.storeHeard.Load()) {
		s.storeHeard.Store(int64(at))
	}
}

func (s *Server) storeAnswered() {
	s.heardAt(s.now())
	s.storeReached()
}

// storeReached notes that the store can be reached. A VM that follows a reader
// learns it from its lease alone.
func (s *Server) storeReached() {
	if s.storeLost.Swap(false) {
		s.event(eventStore).Info("store is reachable")
	}
}

// unsureFor is how long after a failed call to the store a removal may mean
// that a target could not renew its registration, as this VM could not reach
// the store either.
const unsureFor = 4 * time.Second

// storeUnsure reports whether removals may come from trouble of the store.
func (s *Server) storeUnsure() bool {
	at := s.storeTrouble.Load()
	return at != 0 && s.now().Sub(clock.Time(at)) < unsureFor
}

// apply turns changes of the copy into events. unsure says that removals may
// come from trouble of the store. copyMu must be held.
func (s *Server) apply(changes []mirror.Change, unsure bool) {
	var targets, void ingress.TargetsChanged
	membersChanged := false
	for _, c := range changes {
		if strings.HasPrefix(c.Key, prefixMembers) {
			membersChanged = true
			continue
		}
		if !s.concerns(c.Key) {
			continue
		}
		s.applyOne(c, &targets, &void)
	}
	if len(void.Gone) > 0 {
		s.core.Post(&void) // never unsure: nothing is wrong with the store
	}
	if len(targets.Set) > 0 || len(targets.Gone) > 0 {
		targets.Unsure = unsure
		s.core.Post(&targets)
	}
	if membersChanged {
		s.applyMembers()
	}
}

// concerns reports whether a key is one that the translator decodes.
func (s *Server) concerns(key string) bool {
	for _, p := range s.set.Translate.Prefixes() {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// applyOne decodes one change and adds what it says of a target to targets, or
// to void if its registration can't be believed. A configuration that can't be
// decoded changes nothing: the last good one stays in force.
func (s *Server) applyOne(c mirror.Change, targets, void *ingress.TargetsChanged) {
	d, err := s.set.Translate.Change(c)
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
		s.configure(d.Configured)
		line(eventConfig).WithField("version", s.version()).Info("configuration is in force")
	case d.Evacuated != nil:
		s.core.Post(d.Evacuated)
		line(eventEvacuate).WithField("domain", d.Evacuated.Domain).WithField("begin", d.Evacuated.Begin).Info("evacuation changed")
	case d.TargetSet != nil:
		t := d.TargetSet
		targets.Set = append(targets.Set, *t)
		line(eventTarget).WithField("target", t.ID).WithField("domain", t.Domain).WithField("draining", t.Draining).
			WithField("cold_ms", t.Cold.Milliseconds()).Info("registered")
	case d.TargetVoid != "":
		void.Gone = append(void.Gone, d.TargetVoid)
		line(eventTarget).WithField("target", d.TargetVoid).Warn("registration names no target")
	case d.TargetGone != "":
		targets.Gone = append(targets.Gone, d.TargetGone)
		line(eventTarget).WithField("target", d.TargetGone).Info("registration is gone")
	}
}

// configure puts a configuration in force.
func (s *Server) configure(ev *ingress.Configured) {
	l := ev.Table.Config.Limits
	limits := inbound.Limits{
		HeadBytes:   or(l.HeadBytes, firstHeadBytes),
		BodyBytes:   min(or(l.BodyBytes, firstBodyBytes), maxBodyBytes),
		ReadTimeout: or(l.HeadTimeout, firstReadTimeout),
		BodyTimeout: bodyTimeout,
		IdleTimeout: or(l.IdleTimeout, firstIdleTimeout),
	}
	s.callers.SetLimits(limits)
	s.core.Post(ev)
	s.table.Store(ev.Table)
}

// version returns that of the configuration in force; 0: none yet.
func (s *Server) version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// or returns v, or otherwise if v is not set.
func or[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}

// applyMembers takes the list of entry VMs from the copy.
func (s *Server) applyMembers() {
	var vms []fleet.VM
	listed := false
	for _, it := range s.copy.Items(prefixMembers) {
		var vm fleet.VM
		if err := json.Unmarshal(it.Value, &vm); err != nil {
			s.log.WithError(err).WithField("key", it.Key).Error("entry VM in the store cannot be decoded")
			continue
		}
		listed = listed || (vm.ID == s.set.Self.ID && vm.Incarnation == s.set.Self.Incarnation)
		vms = append(vms, vm)
	}
	if !listed {
		s.unlisted()
	}
	s.event(eventMembers).WithField("count", len(vms)).Info("list of entry VMs changed")
	s.setMembers(vms)
	s.core.Post(&ingress.MembersChanged{VMs: vms})
}
