package load

import (
	"cmp"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Options are the settings. A zero field takes its default.
type Options struct {
	Expire time.Duration // age above which figures are unknown
	// ExpireFar is the same for other regions in a fleet too large for each
	// answer to a VM to carry all of them: they are sent in rotation, and one
	// rotation takes longer than Expire.
	ExpireFar time.Duration
	Transit   time.Duration // added to an age at each hop
}

// Defaults of Options.
const (
	DefaultExpire    = 30 * time.Second
	DefaultExpireFar = 75 * time.Second
	DefaultTransit   = 50 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Expire = cmp.Or(o.Expire, DefaultExpire)
	o.ExpireFar = cmp.Or(o.ExpireFar, DefaultExpireFar)
	o.Transit = cmp.Or(o.Transit, DefaultTransit)
	return o
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Measured carries this VM's own samples.
type Measured struct{ Samples []Sample }

// Received carries a report of another VM.
type Received struct {
	From   fleet.VMID
	Report *Report
}

// Membership describes the participants: the VMs whose figures this one collects,
// empty unless it is a representative; the live representatives of the domain;
// and all domains by region.
type Membership struct {
	Representative bool
	Group          []fleet.VMID
	Peers          []fleet.VMID
	Domains        []DomainOf
	// Interest lists other regions whose load is part of every report while it
	// is known: those that a traffic shift moves to or from.
	Interest []fleet.Region
}

// DomainOf assigns a domain to its region.
type DomainOf struct {
	Region fleet.Region
	Domain fleet.Domain
}

func (*Measured) isEvent()   {}
func (*Received) isEvent()   {}
func (*Membership) isEvent() {}
