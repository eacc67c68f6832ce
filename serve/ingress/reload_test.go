package ingress

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// Guards against changed settings that are ignored silently: a file with one
// changed setting is read again, and the log does not show whether the change
// takes effect.
func TestReloadLogsChangedSettings(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	log := new(logBuffer)
	w.log = log
	s := w.startListed("vm-1")
	cases := map[string]struct {
		change  func(*Settings)
		applied bool // takes effect without a restart
	}{
		"bounds":       {func(c *Settings) { c.Bounds.RegionShift = 0.4 }, true},
		"drain-time":   {func(c *Settings) { c.DrainTime += time.Second }, true},
		"stop-timeout": {func(c *Settings) { c.StopTimeout += time.Second }, true},
		"lookup-ttl":   {func(c *Settings) { c.LookupTTL += time.Second }, true},
		"seeds":        {func(c *Settings) { c.Seeds = []string{"127.0.0.1:1"} }, true},
		"id":           {func(c *Settings) { c.Self.ID = "other" }, false},
		"domain":       {func(c *Settings) { c.Self.Domain = "other" }, false},
		"call-addr":    {func(c *Settings) { c.Self.CallAddr = "127.0.0.1:1" }, false},
		"peer-addr":    {func(c *Settings) { c.Self.PeerAddr = "127.0.0.1:1" }, false},
		"cores":        {func(c *Settings) { c.Self.Cores++ }, false},
		"ready-addr":   {func(c *Settings) { c.ReadyAddr = "127.0.0.1:1" }, false},
		"lookup-addr":  {func(c *Settings) { c.LookupAddr = "127.0.0.1:1" }, false},
		"metrics-addr": {func(c *Settings) { c.MetricsAddr = "127.0.0.1:1" }, false},
		"regions":      {func(c *Settings) { c.Regions = map[fleet.Domain]fleet.Region{"x": "y"} }, false},
		"memory":       {func(c *Settings) { c.MemoryBytes++ }, false},
		"lease-ttl":    {func(c *Settings) { c.LeaseTTL++ }, false},
	}
	for name, c := range cases {
		same := s.startSettings
		s.Reload(&same, nil)
		before := len(log.String())
		set := s.startSettings
		c.change(&set)
		s.Reload(&set, nil)
		out := log.String()[before:]
		is.Equal(strings.Contains(out, `"changed":"`+name+`"`), c.applied)   // applied
		is.Equal(strings.Contains(out, `"settings":"`+name+`"`), !c.applied) // waits for the next start
	}
}

// Guards against taking settings from a file that is invalid because it is only
// partly written.
func TestFailedReloadKeepsSettings(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	s := w.startListed("vm-1")
	before := s.reloadable.Load()
	s.Reload(nil, errors.New("not JSON"))
	is.Equal(s.reloadable.Load(), before)
}

// Changed bounds have to reach the reducer.
func TestReloadAppliesBounds(t *testing.T) {
	w := newTestEnv(t, catchAllRoute(true))
	s := w.startListed("vm-1")
	set := s.startSettings
	set.Bounds.RegionShift = 0.4
	s.Reload(&set, nil)
	w.eventually("they are in force", func() bool {
		var shift float64
		s.core.Query(func(_ clock.Time, r *ingress.Reducer) { shift = r.Bounds().RegionShift })
		return shift == 0.4
	})
}
