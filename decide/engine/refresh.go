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

// refreshInterval is the time between measurements of this VM's load, and
// between evaluations of the load reports of others.
const refreshInterval = 250 * time.Millisecond

// refresh measures this VM's load and applies the load that others reported.
func (e *Engine) refresh(now clock.Time, out *Ready) {
	e.wakeTimes.refresh = now.Add(refreshInterval)
	e.measureOwnLoad(now, out)
	domains := e.member.Domains(nil)
	e.updateRemotes(now, domains, out)
	if e.updateWeights(now, domains) {
		e.rebuildView(out)
	}
}

// measureOwnLoad passes this VM's load to the load state and the tally.
func (e *Engine) measureOwnLoad(now clock.Time, out *Ready) {
	e.ownLoads = e.dispatch.AppendLoads(e.ownLoads[:0])
	e.loadSamples = e.loadSamples[:0]
	e.tallySamples = e.tallySamples[:0]
	for _, l := range e.ownLoads {
		m := e.tally.Meter().Rate(now, l.Service)
		e.loadSamples = append(e.loadSamples, load.Sample{
			Service:  l.Service,
			InFlight: uint32(l.InFlight),
			Queued:   uint32(l.Queued),
			Slots:    uint32(l.Capacity),
			Capacity: uint32(l.InFlight + l.Queued + l.Headroom),
			Rate:     m.Answers,
			Errors:   uint16(m.Errors),
			P99:      m.P99,
		})
		e.tallySamples = append(e.tallySamples, tally.Sample{
			Service:  l.Service,
			Capacity: uint32(l.Capacity),
			InFlight: uint32(l.InFlight + l.Queued),
			Warming:  l.Warming,
		})
	}
	e.stepTally(now, &tally.Measured{Samples: e.tallySamples}, out)
	e.loads.Step(now, &load.Measured{Samples: e.loadSamples})
}

// maxRemotesPerDomain is the maximum number of entry VMs of one domain that
// requests are forwarded to. They are the first in an order by hash, so
// different entry VMs choose different ones.
const maxRemotesPerDomain = 2

// updateRemotes passes to the dispatcher the entry VMs of other domains that
// requests can be forwarded to. A domain's free capacity is divided evenly among
// its entry VMs, because only they have the actual division; the receiver accepts
// or refuses each request on arrival.
func (e *Engine) updateRemotes(now clock.Time, domains []member.DomainView, out *Ready) {
	ev := &dispatch.RemoteLoads{}
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
			for _, vm := range d.VMs[:min(len(d.VMs), maxRemotesPerDomain)] {
				ev.List = append(ev.List, dispatch.RemoteLoad{
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

// updateWeights derives the look-up weight of each domain from its headroom. It
// reports whether any weight changed.
func (e *Engine) updateWeights(now clock.Time, domains []member.DomainView) bool {
	if e.catalogue == nil {
		return false
	}
	changed := false
	for _, d := range domains {
		for _, s := range e.catalogue.Services {
			changed = e.observeHeadroom(now, d.Domain, s.Name) || changed
		}
	}
	if changed {
		e.weights = e.damper.Weights()
	}
	return changed
}

func (e *Engine) observeHeadroom(now clock.Time, d fleet.Domain, s fleet.ServiceName) bool {
	f, ok := e.loads.Domain(now, s, d)
	if !ok || f.Capacity == 0 {
		return false
	}
	free := float64(max(f.Headroom(), 0)) / float64(f.Capacity)
	return e.damper.Observe(steer.DomainService{Domain: d, Service: s}, free, now, now.Add(-f.Age))
}
