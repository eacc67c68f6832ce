// Package route finds the route of a request and the service that runs it.
//
// A configuration holds routes by host and path prefix. Of the routes of a
// host, the one with the longest prefix of the path counts. A route names one
// service, or several with weights. A Table is immutable once made; a new
// version of the configuration is a new Table.
package route

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Config is one version of the operators' routes.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[fleet.ServiceName]Service
	Limits   Limits
}

// Route says what becomes of the requests below one prefix of one host.
type Route struct {
	Name   string
	Host   string // without a port, lower case
	Prefix string // begins and ends with a slash
	Parts  []Part // at least one; their weights sum to more than 0
	// Idempotent requests may run more than once.
	Idempotent bool
	// Large says that answers are large, and dear to carry far.
	Large bool
	// Timeout is the longest time the operators want a request kept waiting;
	// 0: the caller's deadline alone counts.
	Timeout time.Duration
	// Aim is the latency within which an answer has its full value; 0: none.
	Aim time.Duration
	// Attempts is the largest number of targets that one request is sent to.
	Attempts int
	Priority int // 0 is the most urgent
	// Homes are the regions in which requests may run; empty: all.
	Homes []fleet.Region
	// Affinity says that a target which has handled an object lately handles
	// it faster.
	Affinity bool
	// Unserved says that the route has a defect: its requests are refused. They
	// would otherwise fall to a route with a shorter prefix and run at a service
	// that was never meant for them.
	Unserved bool
}

// Part is one service of a route and its share of the requests.
type Part struct {
	Service fleet.ServiceName
	Weight  int
}

// Service is what a configuration says of one service.
type Service struct {
	Name        fleet.ServiceName
	HealthPath  string
	Connections int           // a target accepts from all entry VMs together
	ColdTime    time.Duration // a target is cold after its start
	ColdRate    float64       // requests a second that a cold target bears
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeadBytes   int           // request line and header fields
	BodyBytes   int           // request body
	HeadTimeout time.Duration // from the first byte of a request to the end of its head
	IdleTimeout time.Duration // between two requests on one connection
}

// Serves reports whether requests of r may run in the region.
func (r *Route) Serves(region fleet.Region) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Uses reports whether the service is one of r's parts.
func (r *Route) Uses(s fleet.ServiceName) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == s && p.Weight > 0 })
}

// Defects of a route.
var (
	ErrNoParts        = errors.New("route: no service with a weight above 0")
	ErrUnknownService = errors.New("route: service is not defined")
	ErrInvalidPrefix  = errors.New("route: prefix must begin and end with a slash")
	ErrNegativeValue  = errors.New("route: value below 0")
	ErrNoAttempts     = errors.New("route: at least one attempt is needed")
)

// DisableInvalidRoutes takes the routes with defects out of service and returns the defects.
// Requests of such a route would go to a service that does not exist, or for
// longer or more often than the operators want. The other routes hold.
func (c *Config) DisableInvalidRoutes() []error {
	var defects []error
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Unserved {
			continue
		}
		if err := r.validate(c.Services); err != nil {
			r.Unserved = true
			defects = append(defects, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return defects
}

func (r *Route) validate(services map[fleet.ServiceName]Service) error {
	total := 0
	for _, p := range r.Parts {
		if p.Weight < 0 {
			return ErrNegativeValue
		}
		if _, ok := services[p.Service]; !ok {
			return fmt.Errorf("%q: %w", p.Service, ErrUnknownService)
		}
		total += p.Weight
	}
	switch {
	case total == 0:
		return ErrNoParts
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return ErrInvalidPrefix
	case r.Timeout < 0 || r.Aim < 0:
		return ErrNegativeValue
	case r.Attempts < 1:
		return ErrNoAttempts
	}
	return nil
}

// Table finds routes in one configuration.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // by falling length of the prefix
}

// NewTable indexes c, which must not be changed afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request, nil when there is none. Host may carry
// a port; target is the path with or without a query.
func (t *Table) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost drops the port and the case, which tell no hosts apart.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
