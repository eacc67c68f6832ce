package shift

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Counter counts the requests of each moving shift at one entry VM. It is not
// safe for concurrent use.
type Counter struct {
	since    clock.Time
	counters []shiftCounter // one per shift and service
}

// shiftCounter counts the requests of one shift and one service.
type shiftCounter struct {
	from  fleet.Region
	salt  salt
	count Count
}

// NewCounter returns a Counter of the moving shifts of c, at zero, from now.
func NewCounter(now clock.Time, c *catalogue.Catalogue) *Counter {
	k := &Counter{since: now}
	for _, s := range moving(c) {
		for _, name := range servicesOf(c, &s) {
			k.counters = append(k.counters, shiftCounter{
				from:  s.From,
				salt:  saltOf(s.ID),
				count: Count{Shift: s.ID, Service: name},
			})
		}
	}
	return k
}

// servicesOf returns the services that s moves.
func servicesOf(c *catalogue.Catalogue, s *catalogue.Shift) []fleet.ServiceName {
	if s.Service != "" {
		return []fleet.ServiceName{s.Service}
	}
	names := make([]fleet.ServiceName, len(c.Services))
	for i := range c.Services {
		names[i] = c.Services[i].Name
	}
	return names
}

// RecordRequest counts one request of a client at home in the given region.
// movedBy is the shift that moved it to another region, or empty; busy is how
// long it occupied a target's slot.
func (k *Counter) RecordRequest(service fleet.ServiceName, home fleet.Region, block uint64, movedBy string, busy time.Duration) {
	for i := range k.counters {
		t := &k.counters[i]
		if t.from != home || t.count.Service != service {
			continue
		}
		t.count.Total++
		t.count.ByPosition[t.salt.position(block)/unitsPerPosition]++
		t.count.Busy += busy
		if movedBy == t.count.Shift {
			t.count.Moved++
		}
	}
}

// Take appends the counts of the window that ends now to out and starts the
// next window.
func (k *Counter) Take(now clock.Time, out []Count) []Count {
	for i := range k.counters {
		c := &k.counters[i].count
		c.Span = Span{Since: k.since, Until: now}
		out = append(out, *c)
		*c = Count{Shift: c.Shift, Service: c.Service}
	}
	k.since = now
	return out
}

// CountWindow is the window length that the counts in evidence should cover.
// Shorter windows hold so few requests that sampling alone can put a count over
// its cap, and the shift would oscillate.
const CountWindow = 10 * time.Second

// Merge adds the count of other entry VMs over a window of the same length.
// The result has the age of the older count.
func (c *Count) Merge(o *Count) {
	span := Span{Since: clock.Min(c.Since, o.Since), Until: clock.Min(c.Until, o.Until)}
	c.add(o)
	c.Span = span
	c.Missing += o.Missing
}

// Extend adds the next window of the same entry VMs, which must begin where c
// ends.
func (c *Count) Extend(next *Count) {
	c.add(next)
	c.Until = next.Until
	c.Missing = max(c.Missing, next.Missing)
}

func (c *Count) add(o *Count) {
	c.Total += o.Total
	c.Moved += o.Moved
	c.Busy += o.Busy
	for i, n := range o.ByPosition {
		c.ByPosition[i] += n
	}
}
