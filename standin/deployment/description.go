package deployment

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/target"
)

const (
	// targetConnections is the connection limit of every target.
	targetConnections = 330
	// targetQueue is the number of requests that may wait for a slot of a target.
	targetQueue = 2

	kib = 1 << 10
)

// coldStart is the cold start of every target.
var coldStart = target.Cold{Factor: 3, Requests: 50, Duration: 2 * time.Second}

// Region is a region with its failure domains.
type Region struct {
	Name    fleet.Region
	Domains []fleet.Domain
	// Clients is the address range of the region's clients.
	Clients netip.Prefix
}

// Service is a service with its targets.
type Service struct {
	catalogue.Service
	Targets    int
	Slots      int
	Work       target.Work
	BodySize   int // of a typical request, in bytes
	AnswerSize int // of a typical answer, in bytes
}

// Capacity returns the number of requests per second that all warm targets of
// the service can execute.
func (s Service) Capacity() float64 {
	return float64(s.Targets*s.Slots) / s.Work.Mean().Seconds()
}

// Description describes one deployment.
type Description struct {
	Name     string
	Regions  []Region
	EntryVMs int
	Services []Service

	// One-way latencies between failure domains of one region, between
	// regions, and from a client to its region.
	DomainLatency time.Duration
	RegionLatency time.Duration
	ClientLatency time.Duration
}

func regions(names ...fleet.Region) []Region {
	var rs []Region
	for i, n := range names {
		rs = append(rs, Region{
			Name:    n,
			Domains: []fleet.Domain{fleet.Domain(n + "-1"), fleet.Domain(n + "-2")},
			Clients: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16),
		})
	}
	return rs
}

// Statikos describes the deployment of Statikos Franchise Engineering Head
// Office.
func Statikos() Description {
	return Description{
		Name:     "statikos",
		Regions:  regions("attiki", "makedonia", "kriti"),
		EntryVMs: 8,
		Services: []Service{
			{
				Service:    catalogue.Service{Name: "calc-lookup", Idempotent: true, Priority: catalogue.Interactive},
				Targets:    16,
				Slots:      3,
				Work:       target.Work{Base: 20 * time.Millisecond, Tail: 10 * time.Millisecond},
				AnswerSize: 4 * kib,
			},
			{
				Service:    catalogue.Service{Name: "permit-file", Priority: catalogue.Deferrable},
				Targets:    12,
				Slots:      3,
				Work:       target.Work{Base: 40 * time.Millisecond, Tail: 20 * time.Millisecond},
				BodySize:   32 * kib,
				AnswerSize: 256,
			},
			{
				// Not idempotent, because some of its requests post fees.
				Service:    catalogue.Service{Name: "drawing-vault", Priority: catalogue.Deferrable},
				Targets:    12,
				Slots:      3,
				Work:       target.Work{Base: 60 * time.Millisecond, Tail: 40 * time.Millisecond},
				BodySize:   64 * kib,
				AnswerSize: 256,
			},
		},
		DomainLatency: 1500 * time.Microsecond,
		RegionLatency: 55 * time.Millisecond,
		ClientLatency: 8 * time.Millisecond,
	}
}

// Inzira describes the deployment of Inzira Software Ltd.
func Inzira() Description {
	return Description{
		Name:     "inzira",
		Regions:  regions("kgl", "hye", "msz"),
		EntryVMs: 9,
		Services: []Service{
			{
				Service:    catalogue.Service{Name: "meter-lookup", Idempotent: true, Priority: catalogue.Interactive},
				Targets:    14,
				Slots:      9,
				Work:       target.Work{Base: 60 * time.Millisecond, Tail: 30 * time.Millisecond},
				AnswerSize: kib,
			},
			{
				Service:    catalogue.Service{Name: "switching", Priority: catalogue.Deferrable},
				Targets:    12,
				Slots:      6,
				Work:       target.Work{Base: 60 * time.Millisecond, Tail: 40 * time.Millisecond},
				BodySize:   4 * kib,
				AnswerSize: 256,
			},
			{
				// Interactive, because an agent at a counter waits for the answer.
				Service:    catalogue.Service{Name: "statements", Idempotent: true, Priority: catalogue.Interactive},
				Targets:    12,
				Slots:      3,
				Work:       target.Work{Base: 60 * time.Millisecond, Tail: 60 * time.Millisecond},
				AnswerSize: 64 * kib,
			},
		},
		DomainLatency: time.Millisecond,
		RegionLatency: 55 * time.Millisecond,
		ClientLatency: 8 * time.Millisecond,
	}
}

// ByName returns the description of "statikos" or "inzira".
func ByName(name string) (Description, error) {
	for _, d := range []Description{Statikos(), Inzira()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Description{}, fmt.Errorf("deployment: unknown deployment %q", name)
}

// location is a failure domain with its region.
type location struct {
	region fleet.Region
	domain fleet.Domain
}

// locations returns all failure domains, alternating between the regions, so
// that the remainder of an uneven division is spread over different regions.
func (d Description) locations() []location {
	var all []location
	for i := 0; ; i++ {
		before := len(all)
		for _, r := range d.Regions {
			if i < len(r.Domains) {
				all = append(all, location{region: r.Name, domain: r.Domains[i]})
			}
		}
		if len(all) == before {
			return all
		}
	}
}

// VMs returns the entry VMs, without addresses.
func (d Description) VMs() []fleet.VM {
	locations := d.locations()
	var vms []fleet.VM
	for i := range d.EntryVMs {
		l := locations[i%len(locations)]
		vms = append(vms, fleet.VM{
			ID:          fleet.VMID(fmt.Sprintf("%s-vm-%d", l.domain, i/len(locations)+1)),
			Region:      l.region,
			Domain:      l.domain,
			Site:        fleet.Site(l.domain),
			Incarnation: 1,
		})
	}
	return vms
}

// targets returns the targets of all services, without addresses. Each service
// starts at the failure domain after the last one of the service before, so
// that the total numbers of targets per failure domain differ by at most one.
func (d Description) targets() []fleet.Target {
	locations := d.locations()
	var ts []fleet.Target
	for _, s := range d.Services {
		for i := range s.Targets {
			l := locations[len(ts)%len(locations)]
			ts = append(ts, fleet.Target{
				ID:          fleet.TargetID(fmt.Sprintf("%s-%s-%d", l.domain, s.Name, i/len(locations)+1)),
				Service:     s.Name,
				Region:      l.region,
				Domain:      l.domain,
				Site:        fleet.Site(l.domain),
				Slots:       s.Slots,
				Connections: targetConnections,
			})
		}
	}
	return ts
}

// Service returns the service with the given name.
func (d Description) Service(n fleet.ServiceName) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == n })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Catalogue returns the first catalogue: all services and no traffic shifts.
func (d Description) Catalogue() catalogue.Catalogue {
	c := catalogue.Catalogue{Revision: 1}
	for _, s := range d.Services {
		service := s.Service
		service.Revision = c.Revision
		c.Services = append(c.Services, service)
	}
	return c
}

// Kinds returns a mix of requests that loads all services in proportion to their
// capacity.
func (d Description) Kinds() []caller.Kind {
	var ks []caller.Kind
	for _, s := range d.Services {
		ks = append(ks, caller.Kind{
			Service:    s.Name,
			Path:       "item",
			Idempotent: s.Idempotent,
			Weight:     s.Capacity(),
			BodySize:   s.BodySize,
			AnswerSize: s.AnswerSize,
		})
	}
	return ks
}

// Rate returns the number of requests per second that, in the mix of Kinds, uses
// the given share of every service's capacity.
func (d Description) Rate(share float64) float64 {
	var total float64
	for _, s := range d.Services {
		total += s.Capacity()
	}
	return share * total
}

// ClientAddrs returns n client addresses of the region. The first 256 are in
// different /24 blocks.
func (r Region) ClientAddrs(n int) []string {
	base := r.Clients.Addr().As4()
	var addrs []string
	for i := range n {
		a := base
		a[2], a[3] = byte(i), byte(1+i>>8)
		addrs = append(addrs, netip.AddrFrom4(a).String())
	}
	return addrs
}
