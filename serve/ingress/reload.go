package ingress

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
)

// reloadableSettings are the settings that can change while the process runs.
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

// changed returns the names of the settings that differ between t and old.
func (t *reloadableSettings) changed(old *reloadableSettings) []string {
	return differingNames([]difference{
		{"bounds", t.bounds != old.bounds},
		{"drain-time", t.drainTime != old.drainTime},
		{"stop-timeout", t.stopTimeout != old.stopTimeout},
		{"lookup-ttl", t.lookupTTL != old.lookupTTL},
		{"seeds", !slices.Equal(t.seeds, old.seeds)},
	})
}

// changedFixed returns the names of the settings that differ between s and old
// but take effect only at the next start: they identify or locate the VM, or
// listeners, limits and intervals are set up from them at the start.
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
		{"descriptors", s.Descriptors != old.Descriptors},
		{"lease-ttl", s.LeaseTTL != old.LeaseTTL},
	})
}

// difference is the name of a setting and whether it differs.
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

// Reload applies settings that were read again. Those that can change while the
// process runs take effect; the rest are logged as waiting for the next start.
// If err is not nil the settings could not be read, and nothing changes.
func (s *Server) Reload(set *Settings, err error) {
	if err != nil {
		s.event(eventReload).WithError(err).Error("settings cannot be read: the old ones stay in force")
		return
	}
	next := set.reloadable()
	changed := next.changed(s.reloadable.Swap(next))
	s.core.Post(&ingress.BoundsChanged{Bounds: next.bounds, DrainTime: next.drainTime})
	s.members.Load().clearAnswers() // they contain their TTL
	s.event(eventReload).WithField("changed", strings.Join(changed, ",")).Info("settings reloaded")
	if names := set.changedFixed(&s.startSettings); len(names) > 0 {
		s.event(eventReload).WithField("settings", strings.Join(names, ",")).Warn("changed settings take effect at the next start")
	}
}
