package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/outbound"
)

// viewer implements admin.Viewer.
type viewer struct{ d *Daemon }

// Catalogue implements admin.Viewer.
func (v viewer) Catalogue() *catalogue.Catalogue { return v.d.config.Load() }

// Status implements admin.Viewer.
func (v viewer) Status() admin.Status {
	d := v.d
	s := admin.Status{
		VM:                  d.self.ID,
		Region:              d.self.Region,
		Domain:              d.self.Domain,
		Incarnation:         d.self.Incarnation,
		Stopping:            d.leaving.Load(),
		PlatformReachable:   d.platformReachable.Load(),
		InvariantViolations: uint64(d.metrics.violations.Load()),
	}
	d.core.Query(func(now clock.Time, e *engine.Engine) { fillStatus(&s, now, e) })
	return s
}

func fillStatus(s *admin.Status, now clock.Time, e *engine.Engine) {
	c := e.Catalogue()
	s.CutOff = e.Config().CutOff(now)
	if age, ok := e.Config().Age(now); ok {
		s.RevisionAge = catalogue.Duration(age)
	}
	regions := fillMembers(s, e)
	if c == nil {
		return
	}
	s.Revision = c.Revision
	fillLoads(s, now, e, c, regions)
	for _, sh := range e.Shifts() {
		s.Shifts = append(s.Shifts, admin.ShiftStatus{
			ID: sh.ID, State: sh.State, Service: sh.Service, From: sh.From, To: sh.To,
			Share: sh.Share, Moved: e.MovedShare(sh.ID), MaxShare: sh.Limits.MaxShare,
			Hold: e.HoldReason(sh.ID),
		})
	}
}

// fillMembers lists the entry VMs and returns their regions.
func fillMembers(s *admin.Status, e *engine.Engine) []fleet.Region {
	var regions []fleet.Region
	for _, v := range e.Member().Domains(nil) {
		regions = append(regions, v.Region)
		for _, vm := range v.VMs {
			state := vm.State
			if !v.Reachable {
				state = fleet.Dead
			}
			s.Members = append(s.Members, admin.Member{VM: vm.ID, Region: vm.Region, Domain: vm.Domain, State: state.String()})
		}
	}
	slices.SortFunc(s.Members, func(a, b admin.Member) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(regions)
	return slices.Compact(regions)
}

func fillLoads(s *admin.Status, now clock.Time, e *engine.Engine, c *catalogue.Catalogue, regions []fleet.Region) {
	for _, r := range regions {
		for _, svc := range c.Services {
			f, ok := e.Loads().Region(now, svc.Name, r)
			if !ok {
				continue
			}
			l := admin.Load{
				Region: r, Service: svc.Name,
				InFlight: float64(f.InFlight + f.Queued),
				Capacity: float64(f.Capacity),
				Age:      catalogue.Duration(f.Age),
			}
			if f.Capacity > 0 {
				l.Headroom = catalogue.Share(max(f.Headroom(), 0) * catalogue.ShareUnit / int(f.Capacity))
			}
			s.Loads = append(s.Loads, l)
		}
	}
}

// revisionTimeout limits the query to one entry VM for its revision.
const revisionTimeout = time.Second

// InForce implements admin.Viewer by querying every live entry VM.
func (v viewer) InForce(ctx context.Context, revision uint64) admin.InForce {
	d := v.d
	out := admin.InForce{Revision: revision, Missing: []fleet.VMID{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, vm := range d.known.Load().byID {
		if vm.State != fleet.Live {
			continue
		}
		out.Total++
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, ok := d.queryRevision(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			if ok && r >= revision {
				out.Applied++
				return
			}
			out.Missing = append(out.Missing, id)
		}()
	}
	wg.Wait()
	slices.Sort(out.Missing)
	return out
}

// queryRevision returns the revision in force at an entry VM.
func (d *Daemon) queryRevision(ctx context.Context, vm fleet.VM) (uint64, bool) {
	if vm.ID == d.self.ID {
		c := d.config.Load()
		return revisionNumber(c), c != nil
	}
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	done := make(chan *outbound.Answer, 1)
	r := &outbound.Request{Method: http.MethodGet, URI: pathReady, Header: http.Header{}}
	k := d.pool.Do(vm.CallAddr, r, func(a *outbound.Answer, _ *verdict.Error) { done <- a })
	var a *outbound.Answer
	select {
	case a = <-done:
	case <-ctx.Done():
		k.Cancel(verdict.ReasonDeadline)
	}
	var page readinessAnswer
	if a == nil || json.Unmarshal(a.Body, &page) != nil {
		return 0, false
	}
	return page.Revision, true
}

func revisionNumber(c *catalogue.Catalogue) uint64 {
	if c == nil {
		return 0
	}
	return c.Revision
}
