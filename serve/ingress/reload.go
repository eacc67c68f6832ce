package ingress

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
)

// reloadableSettings are the settings that may change under a running process.
type reloadableSettings struct {
	bounds      ingress.Bounds
	drainTime   time.Duration
	stopTimeout time.Duration
	lookupTTL   time.Duration
	seeds       []string
}

func (s *Settings) reloadable() *reloadableSettings {
	return &reloadableSettings{
		bounds: s.Bounds, drainTime: s.DrainTime, stopTimeout: s.StopTimeout,
		lookupTTL: s.LookupTTL, seeds: slices.Clone(s.Seeds),
	}
}

// changed names the settings in which t differs from old.
func (t *reloadableSettings) changed(old *reloadableSettings) []string {
	return differingNames([]difference{
		{"bounds", t.bounds != old.bounds},
		{"drain-time", t.drainTime != old.drainTime},
		{"stop-timeout", t.stopTimeout != old.stopTimeout},
		{"lookup-ttl", t.lookupTTL != old.lookupTTL},
		{"seeds", !slices.Equal(t.seeds, old.seeds)},
	})
}

// changedFixed names the settings in which s differs from old and that hold
// until the process is started again: who and where it is, and what was sized or
// opened by them.
func (s *Settings) changedFixed(old *Settings) []string {
	return differingNames([]difference{
		{"id", s.Self.ID != old.Self.ID},
		{"domain", s.Self.Domain != old.Self.Domain},
		{"call-addr", s.Self.CallAddr != old.Self.CallAddr},
		{"peer-addr", s.Self.PeerAddr != old.Self.PeerAddr},
		{"gateway-addr", s.Self.GatewayAddr != old.Self.GatewayAddr},
		{"cores", s.Self.Cores != old.Self.Cores},
		{"ready-addr", s.ReadyAddr != old.ReadyAddr},
		{"lookup-addr", s.LookupAddr != old.LookupAddr},
		{"metrics-addr", s.MetricsAddr != old.MetricsAddr},
		{"regions", !maps.Equal(s.Regions, old.Regions)},
		{"memory", s.MemoryBytes != old.MemoryBytes},
		{"lease-ttl", s.LeaseTTL != old.LeaseTTL},
	})
}

// difference is a setting and whether it differs.
type difference struct {
	name    string
	differs bool
}

func differingNames(list []difference) []string {
	var names []string
	for _, d := range list {
		if d.differs {
			names = append(names, d.name)
		}
	}
	return names
}

// Reload takes settings that were read again. What can change under a running
// process comes into force; of the rest a line says that it waits for the next
// start. err says why they could not be read: then nothing changes.
func (s *Server) Reload(set *Settings, err error) {
	if err != nil {
		s.event(eventReload).WithError(err).Error("settings cannot be read; the old ones stay in force")
		return
	}
	next := set.reloadable()
	changed := next.changed(s.reloadable.Swap(next))
	s.core.Post(&ingress.BoundsChanged{Bounds: next.bounds, DrainTime: next.drainTime})
	s.members.Load().clearAnswers() // they state for how long they hold
	s.event(eventReload).WithField("changed", strings.Join(changed, ",")).Info("settings were read again")
	if waits := set.changedFixed(&s.startSettings); len(waits) > 0 {
		s.event(eventReload).WithField("settings", strings.Join(waits, ",")).Warn("settings that changed wait for the next start")
	}
}
