package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/standin/deployment"
	"github.com/azurethread/azurethread/standin/platform"
)

// Fault is the fault that is injected in the middle of a run.
type Fault string

// The faults.
const (
	None         Fault = "none"
	TargetCrash  Fault = "target-crash"
	TargetLeave  Fault = "target-leave"
	Silent       Fault = "silent"
	PlatformDown Fault = "platform-down"
	EntryStop    Fault = "entry-stop"
	EntryCrash   Fault = "entry-crash"
	RegionDrain  Fault = "region-drain"
)

// Faults lists all faults.
var Faults = []Fault{None, TargetCrash, TargetLeave, Silent, PlatformDown, EntryStop, EntryCrash, RegionDrain}

// ParseFault reads a fault's name.
func ParseFault(s string) (Fault, error) {
	f := Fault(s)
	if !slices.Contains(Faults, f) {
		names := make([]string, len(Faults))
		for i, n := range Faults {
			names[i] = string(n)
		}
		return "", fmt.Errorf("unknown fault %q; one of %s", s, strings.Join(names, ", "))
	}
	return f, nil
}

// inject injects the fault.
func (r *run) inject(ctx context.Context) error {
	switch r.options.Fault {
	case TargetCrash:
		for _, t := range r.firstTargetPerService() {
			t.Crash()
		}
	case TargetLeave:
		r.leaveTargets()
	case Silent:
		for _, t := range r.firstTargetPerService() {
			n := t.SilenceConnections(-1)
			r.progressf("%d connections of %s have gone silent", n, t.Machine.ID)
		}
	case PlatformDown:
		return r.dep.Platform.SetOutage(platform.Hanging)
	case EntryStop:
		r.stopEntry()
	case EntryCrash:
		r.crashEntry()
	case RegionDrain:
		return r.drainRegion(ctx)
	}
	return nil
}

// firstTargetPerService returns one target of each service.
func (r *run) firstTargetPerService() []*deployment.Target {
	seen := make(map[fleet.ServiceName]bool)
	var out []*deployment.Target
	for _, t := range r.dep.Targets {
		if !seen[t.Machine.Service] {
			seen[t.Machine.Service] = true
			out = append(out, t)
		}
	}
	return out
}

// leaveTargets makes one target of each service leave, and records how long
// they take to finish their requests.
func (r *run) leaveTargets() {
	began := time.Now()
	for _, t := range r.firstTargetPerService() {
		r.dep.Leave(t)
		r.goTracked(func() {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			if _, err := t.WaitDrained(ctx); err == nil {
				r.recordDrain(time.Since(began))
			}
		})
	}
}

// drainTimeout is the longest wait for a drain.
const drainTimeout = 30 * time.Second

// stopEntry stops one entry VM gracefully.
func (r *run) stopEntry() {
	d := r.daemons[0]
	r.daemons = r.daemons[1:]
	r.stopped = d
	began := time.Now()
	r.goTracked(func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		if err := d.Stop(ctx); err != nil {
			r.progressf("entry VM stopped with requests in flight: %v", err)
		}
		r.recordDrain(time.Since(began))
	})
}

// crashEntry kills one entry VM without notice to the others.
func (r *run) crashEntry() {
	d := r.daemons[0]
	r.daemons = r.daemons[1:]
	r.stopped = d
	d.Kill()
}

// drainedRegion returns the region that RegionDrain moves traffic out of.
func (r *run) drainedRegion() fleet.Region { return r.dep.Description.Regions[0].Name }
