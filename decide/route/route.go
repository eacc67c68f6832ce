// Package route selects the route of a request and the service that runs it.
//
// A configuration holds routes by host and path prefix. Among the routes of a
// host, the one with the longest matching prefix applies. A route names one
// service, or several with weights. A Table is immutable; a new version of the
// configuration gets a new Table.
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
	Accounts []Account
	Services map[fleet.ServiceName]Service
	Limits   Limits
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string // without a port, lower case
	Prefix string // begins and ends with a slash
	Parts  []Part // at least one; their weights sum to more than 0
	// Idempotent requests may run more than once.
	Idempotent bool
	// LargeAnswers says that answers are large, so carrying them over long distances
	// is expensive.
	LargeAnswers bool
	// Timeout is the longest time that operators allow a request to wait; 0:
	// only the deadline of the caller applies.
	Timeout time.Duration
	// Aim is the latency goal: an answer within it has its full value; 0:
	// none.
	Aim time.Duration
	// Attempts is the largest number of targets to which one request is sent.
	Attempts int
	Priority int // 0 is the most urgent
	// Homes are the regions in which requests may run; empty: all.
	Homes []fleet.Region
	// Affinity says that a target that has recently handled an object handles
	// it faster.
	Affinity bool
	// Disabled says that the route is invalid and its requests are refused.
	// Otherwise they would match a route with a shorter prefix and run at a
	// service that isn't meant for them.
	Disabled bool
	// Public says that requests need no key of an account.
	Public bool
}

// Part is one service of a route and its weight.
type Part struct {
	Service fleet.ServiceName
	Weight  int
}

// Service is the configuration of one service.
type Service struct {
	Name        fleet.ServiceName
	HealthPath  string
	Connections int           // accepted by a target from all entry VMs together
	ColdTime    time.Duration // how long a target is cold after its start
	ColdRate    float64       // requests a second that a cold target can handle
}

// Limits bound the size of requests and the time that callers may take to send
// them.
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

// Uses reports whether r gives the service a weight above 0.
func (r *Route) Uses(s fleet.ServiceName) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == s && p.Weight > 0 })
}

// Reasons why a route is invalid.
var (
	ErrNoParts        = errors.New("route: no service with a weight above 0")
	ErrUnknownService = errors.New("route: service is not defined")
	ErrInvalidPrefix  = errors.New("route: prefix must begin and end with a slash")
	ErrNegativeValue  = errors.New("route: negative value")
	ErrNoAttempts     = errors.New("route: fewer than one attempt")
)

// DisableInvalidRoutes makes invalid routes refuse their requests and returns
// what is wrong with them. The requests would otherwise go to a service that
// does not exist, or be sent for longer or more often than the operators want.
// The other routes stay in force.
func (c *Config) DisableInvalidRoutes() []error {
	var defects []error
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Disabled {
			continue
		}
		if err := r.validate(c.Services); err != nil {
			r.Disabled = true
			defects = append(defects, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return defects
}

func (r *Route) validate(services map[fleet.ServiceName]Service) error {
	total := 0
	for _, p := range r.Parts {
		if p.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: %w", p.Weight, p.Service, ErrNegativeValue)
		}
		if _, ok := services[p.Service]; !ok {
			return fmt.Errorf("service %q: %w", p.Service, ErrUnknownService)
		}
		total += p.Weight
	}
	switch {
	case total == 0:
		return ErrNoParts
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q: %w", r.Prefix, ErrInvalidPrefix)
	case r.Timeout < 0 || r.Aim < 0:
		return fmt.Errorf("timeout %v, aim %v: %w", r.Timeout, r.Aim, ErrNegativeValue)
	case r.Attempts < 1:
		return fmt.Errorf("%d attempts: %w", r.Attempts, ErrNoAttempts)
	}
	return nil
}

// Table finds the routes of one configuration.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // by descending length of the prefix
	routes map[string]*Route   // by name
	byKey  map[KeyDigest]*Account
	byName map[AccountName]*Account
}

// NewTable indexes c, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: make(map[string][]*Route), routes: make(map[string]*Route, len(c.Routes))}
	for i := range c.Routes {
		r := &c.Routes[i]
		if _, repeated := t.routes[r.Name]; !repeated {
			t.routes[r.Name] = r
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.indexAccounts()
	return t
}

// Route returns the route of a name, or nil.
func (t *Table) Route(name string) *Route { return t.routes[name] }

// Match returns the route of a request, or nil. The host may include a port;
// uri is the path with or without a query.
func (t *Table) Match(host, uri string) *Route {
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost removes the port and converts to lower case, as neither
// distinguishes hosts.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
