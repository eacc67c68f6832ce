package capacity

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/pflag"
)

// Sizes describes the system whose needs are calculated.
type Sizes struct {
	Daemons  int // entry VMs
	Blocks   int // blocks of clients
	Sites    int
	Lookups  int // a second, over all entry VMs
	Regions  int
	Domains  int           // failure domains
	Changes  int           // of the configuration, a day
	Burst    int           // changes in a burst, as a multiple of the mean rate
	VMEvents int           // failures and replacements of entry VMs, a day
	Readers  int           // of the platform, per failure domain
	Shifts   int           // running at once
	Step     time.Duration // between two steps of a shift
}

// PlannedSizes are the sizes that the users plan for.
var PlannedSizes = Sizes{
	Daemons: 3300, Blocks: 2_300_000, Sites: 940, Lookups: 2_200_000,
	Regions: 22, Domains: 77, Changes: 19_000, Burst: 20, VMEvents: 819,
	Readers: 2, Shifts: 22, Step: 30 * time.Second,
}

// registerFlags adds a flag for every size.
func (s *Sizes) registerFlags(f *pflag.FlagSet) {
	f.IntVar(&s.Daemons, "daemons", s.Daemons, "entry VMs")
	f.IntVar(&s.Blocks, "blocks", s.Blocks, "blocks of clients")
	f.IntVar(&s.Sites, "sites", s.Sites, "sites")
	f.IntVar(&s.Lookups, "lookups", s.Lookups, "look-ups a second over all entry VMs")
	f.IntVar(&s.Regions, "regions", s.Regions, "regions")
	f.IntVar(&s.Domains, "domains", s.Domains, "failure domains")
	f.IntVar(&s.Changes, "changes", s.Changes, "changes of the configuration a day")
	f.IntVar(&s.Burst, "burst", s.Burst, "changes in a burst, as a multiple of the mean rate")
	f.IntVar(&s.VMEvents, "vm-events", s.VMEvents, "failures and replacements of entry VMs a day")
	f.IntVar(&s.Readers, "readers", s.Readers, "readers of the platform per failure domain")
	f.IntVar(&s.Shifts, "shifts", s.Shifts, "traffic shifts running at once")
	f.DurationVar(&s.Step, "step", s.Step, "interval between two steps of a shift")
}

// validate rejects sizes that no deployment can have.
func (s *Sizes) validate() error {
	for _, c := range []struct {
		name  string
		value int
	}{
		{"daemons", s.Daemons}, {"blocks", s.Blocks}, {"sites", s.Sites}, {"lookups", s.Lookups},
		{"regions", s.Regions}, {"domains", s.Domains}, {"changes", s.Changes}, {"burst", s.Burst},
		{"vm-events", s.VMEvents}, {"readers", s.Readers}, {"shifts", s.Shifts},
	} {
		if c.value <= 0 {
			return fmt.Errorf("--%s must be above 0", c.name)
		}
	}
	switch {
	case s.Step <= 0:
		return errors.New("--step must be above 0")
	case s.Domains > s.Daemons:
		return errors.New("--domains must not exceed --daemons")
	case s.Regions > s.Domains:
		return errors.New("--regions must not exceed --domains")
	case s.Sites > s.Daemons:
		return errors.New("--sites must not exceed --daemons")
	}
	return nil
}

const day = 24 * time.Hour

// vmsPerDomain returns the mean number of entry VMs in a failure domain.
func (s *Sizes) vmsPerDomain() float64 { return float64(s.Daemons) / float64(s.Domains) }

// changeRate returns the mean number of changes per second.
func (s *Sizes) changeRate() float64 { return float64(s.Changes) / day.Seconds() }

// eventRate returns the mean number of VM events per second.
func (s *Sizes) eventRate() float64 { return float64(s.VMEvents) / day.Seconds() }
