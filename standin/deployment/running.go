package deployment

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	api "github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/standin/caller"
	"github.com/azurethread/azurethread/standin/platform"
	"github.com/azurethread/azurethread/standin/target"
)

// addrsPerVM is the number of addresses of one entry VM.
const addrsPerVM = 3

// Options configures Start.
type Options struct {
	// Seed seeds the random service times.
	Seed uint64
	// Cold makes the targets begin with a cold start. By default they are
	// warm, as in a deployment that has been running for some time.
	Cold bool
	// Platform configures the platform.
	Platform platform.Options
	// PutCatalogue writes the first catalogue to the platform in the format
	// that the daemons read. If it is nil, no catalogue is written.
	PutCatalogue func(ctx context.Context, s api.Store, c catalogue.Catalogue) error
	// VMs lists the entry VMs with their addresses. Nil means the entry VMs of
	// the description, on free ports of 127.0.0.1.
	VMs []fleet.VM
}

// Target is one target with its entry in the machine list.
type Target struct {
	*target.Server
	Machine fleet.Target
}

// Running holds the running stand-ins of a deployment.
type Running struct {
	Description Description
	Platform    *platform.Server
	Targets     []*Target

	mu       sync.Mutex
	machines fleet.List // present state, ahead of the platform's list by the lag
}

// Start starts the platform and the targets of a deployment on loopback.
func Start(ctx context.Context, d Description, o Options) (*Running, error) {
	r := &Running{Description: d, Platform: platform.New(o.Platform)}
	if err := r.start(ctx, o); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Running) start(ctx context.Context, o Options) error {
	if err := r.Platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := r.startTargets(o); err != nil {
		return err
	}
	vms := o.VMs
	if vms == nil {
		var err error
		if vms, err = withFreePorts(r.Description.VMs()); err != nil {
			return err
		}
	}
	r.updateMachines(func(l *fleet.List) {
		l.VMs = slices.Clone(vms)
		for _, t := range r.Targets {
			l.Targets = append(l.Targets, t.Machine)
		}
	})
	if o.PutCatalogue == nil {
		return nil
	}
	if err := o.PutCatalogue(ctx, r.Platform.Store(), r.Description.Catalogue()); err != nil {
		return fmt.Errorf("deployment: put first catalogue: %w", err)
	}
	return nil
}

func (r *Running) startTargets(o Options) error {
	for i, m := range r.Description.targets() {
		service, _ := r.Description.Service(m.Service)
		s := target.New(target.Options{
			Service:     m.Service,
			ID:          m.ID,
			Slots:       m.Slots,
			Queue:       targetQueue,
			Connections: m.Connections,
			Work:        service.Work,
			Cold:        coldStart,
			Warm:        !o.Cold,
			Seed:        o.Seed + uint64(i),
		})
		if err := s.Start("127.0.0.1:0"); err != nil {
			return err
		}
		m.Addr = s.Addr()
		r.Targets = append(r.Targets, &Target{Server: s, Machine: m})
	}
	return nil
}

// withFreePorts sets the addresses of the entry VMs to free ports. All ports
// stay open until the last one is known, so that none is assigned twice.
// Another process may still take a port before the daemon listens on it.
func withFreePorts(vms []fleet.VM) ([]fleet.VM, error) {
	var addrs []string
	for range len(vms) * addrsPerVM {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("deployment: find free port: %w", err)
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	for i := range vms {
		vmAddrs := addrs[i*addrsPerVM:]
		vms[i].CallAddr, vms[i].PeerAddr, vms[i].AdminAddr = vmAddrs[0], vmAddrs[1], vmAddrs[2]
	}
	return vms, nil
}

// Close stops all targets and the platform.
func (r *Running) Close() error {
	for _, t := range r.Targets {
		t.Server.Close()
	}
	return r.Platform.Close()
}

// Machines returns the present machines. The platform's list may lag behind.
func (r *Running) Machines() fleet.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.List{VMs: slices.Clone(r.machines.VMs), Targets: slices.Clone(r.machines.Targets)}
}

// updateMachines applies change to the machines and passes the result to the
// platform, which publishes it after its lag.
func (r *Running) updateMachines(change func(*fleet.List)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.machines)
	r.Platform.SetMachines(r.machines)
}

// SetVM replaces the entry VM with the same ID, as after a restart, or adds it.
func (r *Running) SetVM(vm fleet.VM) {
	r.updateMachines(func(l *fleet.List) {
		i := slices.IndexFunc(l.VMs, func(v fleet.VM) bool { return v.ID == vm.ID })
		if i < 0 {
			l.VMs = append(l.VMs, vm)
			return
		}
		l.VMs[i] = vm
	})
}

// Target returns the target with the given ID, or nil.
func (r *Running) Target(id fleet.TargetID) *Target {
	i := slices.IndexFunc(r.Targets, func(t *Target) bool { return t.Machine.ID == id })
	if i < 0 {
		return nil
	}
	return r.Targets[i]
}

// SetTargetState changes a target's state in the machine list only.
func (r *Running) SetTargetState(id fleet.TargetID, s fleet.State) {
	r.updateMachines(func(l *fleet.List) {
		for i := range l.Targets {
			if l.Targets[i].ID == id {
				l.Targets[i].State = s
			}
		}
	})
}

// Leave makes a target refuse new requests and marks it as leaving in the
// machine list.
func (r *Running) Leave(t *Target) {
	t.Server.Leave()
	r.SetTargetState(t.Machine.ID, fleet.Leaving)
}

// Executions returns the number of executions by request ID, summed over all
// targets.
func (r *Running) Executions() map[string]int {
	sum := map[string]int{}
	for _, t := range r.Targets {
		for id, n := range t.Executions() {
			sum[id] += n
		}
	}
	return sum
}

// RegionOf returns the region of a target.
func (r *Running) RegionOf(id fleet.TargetID) (fleet.Region, bool) {
	if t := r.Target(id); t != nil {
		return t.Machine.Region, true
	}
	return "", false
}

// Totals returns the combined Stats of all targets: the sum of counts and the
// maximum of peak values.
func (r *Running) Totals() target.Stats {
	var sum target.Stats
	for _, t := range r.Targets {
		s := t.Stats()
		sum.Arrived += s.Arrived
		sum.Started += s.Started
		sum.Completed += s.Completed
		sum.Shed += s.Shed
		sum.ArrivedAtCapacity += s.ArrivedAtCapacity
		sum.PeakInFlight = max(sum.PeakInFlight, s.PeakInFlight)
		sum.RefusedLeaving += s.RefusedLeaving
		sum.LastArrivalAfterLeave = max(sum.LastArrivalAfterLeave, s.LastArrivalAfterLeave)
		sum.Cancelled += s.Cancelled
		sum.Expired += s.Expired
		sum.BrokenBodies += s.BrokenBodies
		sum.CutByShutdown += s.CutByShutdown
		sum.CutAnswers += s.CutAnswers
		sum.Connections += s.Connections
		sum.PeakConnections = max(sum.PeakConnections, s.PeakConnections)
		sum.ConnectionsRefused += s.ConnectionsRefused
	}
	return sum
}

// Callers returns n callers for each region. For look-ups, each prefers the
// entry VMs of its own region. If latency is set, the callers' connections have
// the latencies of the description.
func (r *Running) Callers(o caller.Options, n int, latency bool) []*caller.Caller {
	vms := r.Machines().VMs
	var all []*caller.Caller
	for i, region := range r.Description.Regions {
		regionOptions := o
		regionOptions.Seed = o.Seed + uint64(i*n)
		regionOptions.EntryAddrs = nearestFirst(vms, region.Name)
		if latency {
			regionOptions.Latency = r.latencyFrom(region.Name, vms)
		}
		all = append(all, caller.NewMany(regionOptions, region.ClientAddrs(n))...)
	}
	return all
}

func nearestFirst(vms []fleet.VM, region fleet.Region) []string {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b fleet.VM) int {
		return cmp.Compare(distance(a, region), distance(b, region))
	})
	var addrs []string
	for _, vm := range sorted {
		addrs = append(addrs, vm.CallAddr)
	}
	return addrs
}

func distance(vm fleet.VM, region fleet.Region) int {
	if vm.Region == region {
		return 0
	}
	return 1
}

// latencyFrom returns the latencies from clients of a region to the addresses of
// the entry VMs.
func (r *Running) latencyFrom(region fleet.Region, vms []fleet.VM) func(string) time.Duration {
	latencies := map[string]time.Duration{}
	for _, vm := range vms {
		latencies[vm.CallAddr] = r.Description.ClientLatency
		if vm.Region != region {
			latencies[vm.CallAddr] += r.Description.RegionLatency
		}
	}
	return func(addr string) time.Duration { return latencies[addr] }
}
