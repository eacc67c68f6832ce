package engine

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/tally"
)

// refreshEvery is the time between two measurements of the own load, and
// between two readings of the others' reports.
const refreshEvery = 250 * time.Millisecond

// refresh measures the own load and takes over what others have reported.
func (e *Engine) refresh(now clock.Time, out *Ready) {
	e.wakes.refresh = now.Add(refreshEvery)
	e.measure(now, out)
	domains := e.member.Domains(nil)
	e.remotes(now, domains, out)
	if e.weigh(now, domains) {
		e.publish(out)
	}
}

// measure gives the own load to the reports.
func (e *Engine) measure(now clock.Time, out *Ready) {
	e.loadsOf = e.dispatch.AppendLoads(e.loadsOf[:0])
	e.samples = e.samples[:0]
	e.tallied = e.tallied[:0]
	for _, l := range e.loadsOf {
		m := e.tally.Meter().Rate(now, l.Service)
		e.samples = append(e.samples, load.Sample{
			Service:  l.Service,
			InFlight: uint32(l.InFlight),
			Queued:   uint32(l.Queued),
			Slots:    uint32(l.Capacity),
			Capacity: uint32(l.InFlight + l.Queued + l.Headroom),
			Rate:     m.Answers,
			Errors:   uint16(m.Errors),
			P99:      m.P99,
		})
		e.tallied = append(e.tallied, tally.Sample{
			Service:  l.Service,
			Capacity: uint32(l.Capacity),
			InFlight: uint32(l.InFlight + l.Queued),
			Warming:  l.Warming,
		})
	}
	e.stepTally(now, &tally.Measured{Samples: e.tallied}, out)
	e.loads.Step(now, &load.Measured{Samples: e.samples})
}

// maxRemotes bounds the entry VMs of one domain that requests are forwarded
// to; they are the first by a hash, so that entry VMs spread over them.
const maxRemotes = 2

// remotes tells the dispatcher who elsewhere could take requests. What a
// domain has left is divided evenly among its entry VMs, as only they know
// how it is divided in truth; the receiver's own admission decides.
func (e *Engine) remotes(now clock.Time, domains []member.DomainView, out *Ready) {
	ev := &dispatch.Remotes{}
	if e.catalogue == nil {
		return
	}
	for _, d := range domains {
		if d.Domain == e.self.Domain || !d.Reachable || d.Live == 0 {
			continue
		}
		rtt := e.opts.FarRTT
		if d.Region == e.self.Region {
			rtt = e.opts.NearRTT
		}
		for _, s := range e.catalogue.Services {
			f, ok := e.loads.Domain(now, s.Name, d.Domain)
			if !ok {
				continue
			}
			for _, vm := range d.VMs[:min(len(d.VMs), maxRemotes)] {
				ev.List = append(ev.List, dispatch.Remote{
					VM: vm.ID, Domain: d.Domain, Region: d.Region, Service: s.Name,
					Capacity: int(f.Slots) / d.Live,
					InFlight: int(f.InFlight) / d.Live,
					Headroom: max(f.Headroom(), 0) / d.Live,
					Age:      f.Age,
					RTT:      rtt,
				})
			}
		}
	}
	e.stepDispatch(now, ev, out)
}

// weigh turns the headroom of each domain into the weight that look-ups give
// it. It reports whether one has changed.
func (e *Engine) weigh(now clock.Time, domains []member.DomainView) bool {
	if e.catalogue == nil {
		return false
	}
	changed := false
	for _, d := range domains {
		for _, s := range e.catalogue.Services {
			changed = e.observe(now, d.Domain, s.Name) || changed
		}
	}
	if changed {
		e.weights = e.damper.Weights()
	}
	return changed
}

func (e *Engine) observe(now clock.Time, d fleet.Domain, s fleet.ServiceName) bool {
	f, ok := e.loads.Domain(now, s, d)
	if !ok || f.Capacity == 0 {
		return false
	}
	free := float64(max(f.Headroom(), 0)) / float64(f.Capacity)
	return e.damper.Observe(steer.DomainService{Domain: d, Service: s}, free, now, now.Add(-f.Age))
}
