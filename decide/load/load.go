package load

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Figure is the load of one service at one place.
type Figure struct {
	InFlight uint32 // requests at targets
	Queued   uint32 // requests waiting
	Slots    uint32 // requests that the targets can work on at once
	Capacity uint32 // slots that are usable now: cold or slow targets have fewer
	Rate     uint32 // answers a second
	Errors   uint16 // failed answers, in 1/10,000 of all
	P99      time.Duration
	Age      time.Duration // since the oldest part was measured
}

// Headroom is the number of further requests that fit; negative if more
// requests wait than fit.
func (f Figure) Headroom() int {
	return int(f.Capacity) - int(f.InFlight) - int(f.Queued)
}

// Sample is what a VM measures of one service at its own targets.
type Sample struct {
	Service  fleet.ServiceName
	InFlight uint32
	Queued   uint32
	Slots    uint32
	Capacity uint32
	Rate     uint32
	Errors   uint16
	P99      time.Duration
}

// Place identifies a failure domain or a region by a hash.
type Place uint32

// PlaceOfDomain returns the place of a failure domain.
func PlaceOfDomain(d fleet.Domain) Place { return Place(hash("domain:", string(d))) }

// PlaceOfRegion returns the place of a region.
func PlaceOfRegion(r fleet.Region) Place { return Place(hash("region:", string(r))) }

// hash returns the 32-bit FNV-1a hash of prefix and name.
func hash(prefix, name string) uint32 {
	const offset, prime = 2166136261, 16777619
	h := uint32(offset)
	for _, s := range [2]string{prefix, name} {
		for i := range len(s) {
			h = (h ^ uint32(s[i])) * prime
		}
	}
	return h
}

// serviceLoad holds the figures of one service as they are kept and summed.
type serviceLoad struct {
	service  uint32
	inFlight uint32
	queued   uint32
	slots    uint32
	capacity uint32
	rate     uint32
	errors   uint16
	p99      uint8 // see bucketOf
}

// valuesPerService is the number of Row.Values per service: in flight, queued,
// slots, capacity, rate, errors in 1/10,000, latency bucket.
const valuesPerService = 7

// Row is the load of one place on the wire.
type Row struct {
	Place  Place  `json:"place"`
	Age    uint32 `json:"age"`  // ms since the oldest part was measured
	SumAge uint32 `json:"made"` // ms since it was summed up; of two rows for a place, the later sum counts
	// ServiceBits has bit i set if Values holds figures of Report.Services[i].
	ServiceBits uint64   `json:"has"`
	Values      []uint32 `json:"values"`
}

// Report is a message between entry VMs. Listing the services once, and not in
// each row, halves its size.
type Report struct {
	Scope    Scope    `json:"scope"`
	Services []uint32 `json:"services"`
	Rows     []Row    `json:"rows"`
}

// Scope says between which VMs a report is sent. The numbers are those of
// member.Scope.
type Scope uint8

// The scopes.
const (
	ScopeNone        Scope = iota
	ScopeCollector         // to the representative that collects; one row, for the VM itself
	ScopeMember            // from that representative
	ScopePeer              // to another representative; the first row is the group's sum
	ScopeRegion            // to another domain of the region
	ScopeOtherRegion       // to another region
)

// Bounds of a report.
const (
	MaxRows     = 64
	MaxServices = 64
)

// ErrBounds is the cause of every error of Validate.
var ErrBounds = errors.New("load: report out of bounds")

// Validate returns an error for reports beyond the bounds.
func (r *Report) Validate() error {
	if r.Scope == ScopeNone || r.Scope > ScopeOtherRegion {
		return fmt.Errorf("%w: unknown scope %d", ErrBounds, r.Scope)
	}
	if len(r.Rows) > MaxRows {
		return fmt.Errorf("%w: %d rows, more than %d", ErrBounds, len(r.Rows), MaxRows)
	}
	if len(r.Services) > MaxServices {
		return fmt.Errorf("%w: %d services, more than %d", ErrBounds, len(r.Services), MaxServices)
	}
	for i := range r.Rows {
		row := &r.Rows[i]
		if bits.Len64(row.ServiceBits) > len(r.Services) {
			return fmt.Errorf("%w: row %d refers to services beyond the %d listed", ErrBounds, i, len(r.Services))
		}
		if len(row.Values) != valuesPerService*bits.OnesCount64(row.ServiceBits) {
			return fmt.Errorf("%w: row %d has %d values for %d services", ErrBounds, i, len(row.Values), bits.OnesCount64(row.ServiceBits))
		}
	}
	return nil
}

// serviceLoads decodes a row of a valid report, in order of service.
func (r *Report) serviceLoads(row *Row) []serviceLoad {
	out := make([]serviceLoad, 0, bits.OnesCount64(row.ServiceBits))
	v := row.Values
	for i, service := range r.Services {
		if row.ServiceBits&(1<<i) == 0 {
			continue
		}
		out = append(out, serviceLoad{
			service:  service,
			inFlight: v[0],
			queued:   v[1],
			slots:    v[2],
			capacity: v[3],
			rate:     v[4],
			errors:   uint16(min(v[5], math.MaxUint16)),
			p99:      uint8(min(v[6], math.MaxUint8)),
		})
		v = v[valuesPerService:]
	}
	slices.SortFunc(out, compareServices)
	return out
}

// addRow appends a row.
func (r *Report) addRow(row Row, entries []serviceLoad) {
	for i := range entries {
		r.addService(entries[i].service)
	}
	// Values follow the order of Services.
	for i, service := range r.Services {
		at, ok := slices.BinarySearchFunc(entries, serviceLoad{service: service}, compareServices)
		if !ok {
			continue
		}
		e := &entries[at]
		row.ServiceBits |= 1 << i
		row.Values = append(row.Values, e.inFlight, e.queued, e.slots, e.capacity,
			e.rate, uint32(e.errors), uint32(e.p99))
	}
	r.Rows = append(r.Rows, row)
}

// addService adds a service to the list of services, unless it is present or
// the list is full.
func (r *Report) addService(key uint32) {
	if !slices.Contains(r.Services, key) && len(r.Services) < MaxServices {
		r.Services = append(r.Services, key)
	}
}

// bucketsPerDoubling is the resolution of latencies on the wire: the upper
// bound of each bucket is 19% above that of the one before.
const bucketsPerDoubling = 4

// bucketOf returns the number of the smallest bucket that holds d: bucket b
// reaches up to 2^(b/4) times 0.1 ms.
func bucketOf(d time.Duration) uint8 {
	const unit = float64(100 * time.Microsecond)
	if d <= 0 {
		return 0
	}
	b := math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/unit))
	return uint8(min(max(b, 1), math.MaxUint8))
}

// bucketUpper returns the upper bound of a bucket.
func bucketUpper(b uint8) time.Duration {
	if b == 0 {
		return 0
	}
	f := math.Exp2(float64(b)/bucketsPerDoubling) * float64(100*time.Microsecond)
	if f > math.MaxInt64/2 {
		return math.MaxInt64 / 2
	}
	return time.Duration(f)
}

// add adds the figures of o for the same service. Percentiles of latency can't
// be added; the higher one counts.
func (e *serviceLoad) add(o *serviceLoad) {
	answers := uint64(e.rate) + uint64(o.rate)
	failed := uint64(e.rate)*uint64(e.errors) + uint64(o.rate)*uint64(o.errors)
	e.errors = max(e.errors, o.errors)
	if answers > 0 {
		e.errors = uint16(failed / answers)
	}
	e.inFlight = addSaturating(e.inFlight, o.inFlight)
	e.queued = addSaturating(e.queued, o.queued)
	e.slots = addSaturating(e.slots, o.slots)
	e.capacity = addSaturating(e.capacity, o.capacity)
	e.rate = addSaturating(e.rate, o.rate)
	e.p99 = max(e.p99, o.p99)
}

func addSaturating(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}

func compareServices(a, b serviceLoad) int { return cmp.Compare(a.service, b.service) }
