package measure

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Service describes one service of a Setup.
type Service struct {
	Name       fleet.ServiceName
	Targets    int // in all domains together
	Slots      int // per target
	Mean       time.Duration
	Deadline   time.Duration
	Idempotent bool
	Priority   catalogue.Priority
}

// Setup describes a deployment.
type Setup struct {
	Name               string
	Services           []Service
	VMs                []int         // number of entry VMs in each domain
	InterDomainLatency time.Duration // one-way latency between the domains of a region
}

// The parts of the model that all setups share.
const (
	domainsPerRegion   = 2
	regions            = 3
	domains            = regions * domainsPerRegion
	intraDomainLatency = 250 * time.Microsecond // one way within a domain
	interRegionLatency = 55 * time.Millisecond  // one way between regions
	callerLatency      = 8 * time.Millisecond   // one way between caller and entry VM
	connectTime        = time.Millisecond
	connections        = 330
	backlogPerSlot     = 8 // requests that a target queues per slot
	reportEvery        = time.Second
	reportLag          = time.Second
	coldTime           = 3 * time.Second // after a restart
	coldFactor         = 3               // multiplies service times while a target is cold
	slowFactor         = 5               // multiplies service times of a slow target
)

// Statikos is the deployment of the first user. Mean times and deadlines are
// assumptions; sizes and latencies are the user's.
func Statikos() Setup {
	return Setup{
		Name: "statikos",
		Services: []Service{
			{Name: "calc-lookup", Targets: 16, Slots: 3, Mean: 20 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Priority: catalogue.Interactive},
			{Name: "permit-file", Targets: 12, Slots: 3, Mean: 60 * time.Millisecond, Deadline: 10 * time.Second, Priority: catalogue.Deferrable},
			{Name: "drawing-vault", Targets: 12, Slots: 3, Mean: 150 * time.Millisecond, Deadline: 10 * time.Second, Priority: catalogue.Deferrable},
		},
		VMs:                []int{2, 1, 2, 1, 1, 1},
		InterDomainLatency: 1500 * time.Microsecond,
	}
}

// Inzira is the deployment of the second user, under the same assumptions.
func Inzira() Setup {
	return Setup{
		Name: "inzira",
		Services: []Service{
			{Name: "meter-lookup", Targets: 14, Slots: 9, Mean: 20 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Priority: catalogue.Interactive},
			{Name: "switching", Targets: 12, Slots: 6, Mean: 60 * time.Millisecond, Deadline: 10 * time.Second, Priority: catalogue.Deferrable},
			{Name: "statements", Targets: 12, Slots: 3, Mean: 150 * time.Millisecond, Deadline: 10 * time.Second, Idempotent: true, Priority: catalogue.Interactive},
		},
		VMs:                []int{2, 1, 2, 1, 1, 1},
		InterDomainLatency: time.Millisecond,
	}
}

// Crowded is a fleet of the size expected in two years, with many entry VMs for
// each target: the share of an entry VM is two or three of a domain's 48 slots.
func Crowded() Setup {
	return Setup{
		Name: "crowded",
		Services: []Service{
			{Name: "calc-lookup", Targets: 96, Slots: 3, Mean: 20 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true, Priority: catalogue.Interactive},
		},
		VMs:                []int{20, 20, 20, 20, 20, 20},
		InterDomainLatency: time.Millisecond,
	}
}

// Variant is a configuration to be compared.
type Variant struct {
	Name      string
	Options   dispatch.Options // Policy, PlainBalancer and Limits are used
	LoadHints bool             // targets state their load in each answer
}

// Variants returns the default configuration, the same with each baseline
// policy, plain balancers that send at once, the default with load hints in
// answers, and the default without forwards and without hedges.
func Variants() []Variant {
	vs := []Variant{{Name: "azurethread"}}
	for _, p := range []string{"round-robin", "random", "least-in-flight", "two-choices"} {
		vs = append(vs, Variant{Name: "choice " + p, Options: dispatch.Options{Policy: p}})
	}
	for _, p := range []string{"round-robin", "random", "least-in-flight", "two-choices"} {
		vs = append(vs, Variant{Name: "plain " + p, Options: dispatch.Options{Policy: p, PlainBalancer: true}})
	}
	return append(vs,
		Variant{Name: "load in answers", LoadHints: true},
		Variant{Name: "no forwards", Options: dispatch.Options{Limits: dispatch.Limits{MaxRemoteLoadAge: -1}}},
		Variant{Name: "no hedges", Options: dispatch.Options{Limits: dispatch.Limits{MinHedgeDelay: -1}}},
	)
}

// Fault is the fault injected in a run.
type Fault string

// The faults.
const (
	NoFault            Fault = "none"
	TargetCrash        Fault = "target-crash" // one target of each service; back after 5 s, cold
	TargetUnresponsive Fault = "target-mute"  // the same targets stop without closing connections; back after 5 s, cold
	SilentConnections  Fault = "silent-connections"
	SlowTarget         Fault = "slow-target" // one target of each service
	RegionLost         Fault = "region-lost"
	// EvenCallers spreads callers evenly over regions of different capacity,
	// from the start. Otherwise they are spread by capacity.
	EvenCallers Fault = "even-callers"
	SkewedLoad  Fault = "skewed-load" // half of the callers in one region, from the start
)

// Run describes one measurement.
type Run struct {
	Setup   Setup
	Variant Variant
	Load    float64 // offered load as a share of the capacity
	Fault   Fault
	Length  time.Duration // time during which callers arrive
	// Spread is the sigma of both log-normal factors of the time that a request
	// takes.
	Spread float64
	Seed   uint64
}

// Times from the start of a run.
const (
	warmUp     = 2 * time.Second // not counted
	faultAt    = 4 * time.Second
	recoveryAt = faultAt + 5*time.Second
)
