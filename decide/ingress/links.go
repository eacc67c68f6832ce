package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
)

// An entry VM may lose its links to all targets while callers, the store and the other
// VMs still reach it. Each failure to open a connection looks like that of its target.
// What tells the two apart is whether this VM can open a connection to any other target:
// after a failure it probes one that has answered recently, and if that fails too, its
// links are down. Until a connection is opened again, it probes one target after the
// other.

// links is what a VM knows of its own links to targets.
type links struct {
	openedAt clock.Time // when a connection to a target was last known to be opened
	// failures counts the connections that could not be opened since.
	failures  int
	failedAt  clock.Time // when the latest of them was begun
	down      bool
	downSince clock.Time
	probing   bool       // a probe is under way or scheduled
	probedAt  clock.Time // when the latest probe began
	probes    int        // since the first failure
}

const (
	// minLinkFailures is how many connections in a row cannot be opened before the links
	// count as down.
	minLinkFailures = 2
	// linkProbeInterval is the time between two probes while the links are down.
	linkProbeInterval = 500 * time.Millisecond
	// maxLinkProbeTargets is the number of targets that are probed in turn. Targets may
	// be down themselves.
	maxLinkProbeTargets = 8
)

// linkOpened records that a connection to a target was opened at the given time.
func (r *Reducer) linkOpened(now, at clock.Time) {
	l := &r.links
	if !at.After(l.openedAt) {
		return
	}
	l.openedAt = at
	if !at.After(l.failedAt) {
		return
	}
	if l.down {
		r.out.LinkChanges = append(r.out.LinkChanges, LinkChange{Failures: l.failures, Age: now.Sub(l.downSince)})
	}
	l.failures, l.down, l.probes = 0, false, 0
}

// linkFailed records that a connection to a target, begun at the given time, could not
// be opened.
func (r *Reducer) linkFailed(now, began clock.Time) {
	l := &r.links
	if l.openedAt.After(began) {
		return // another one was opened meanwhile
	}
	l.failures++
	l.failedAt = max(l.failedAt, began)
	if l.failures >= minLinkFailures && !l.down {
		l.down, l.downSince = true, now
		r.out.LinkChanges = append(r.out.LinkChanges, LinkChange{Down: true, Failures: l.failures, Age: now.Sub(l.openedAt)})
	}
	if !l.probing {
		r.probeLinks(now)
	}
}

// probeLinks probes a target. If there is none to probe, it tries again later.
func (r *Reducer) probeLinks(now clock.Time) {
	l := &r.links
	l.probing = true
	t := r.linkProbeTarget()
	if t == nil {
		r.timers.add(timer{at: now.Add(linkProbeInterval), purpose: dueLinkProbe})
		return
	}
	l.probes++
	l.probedAt = now
	r.out.LinkProbes = append(r.out.LinkProbes, Probe{Target: t.ID, StartedAt: t.StartedAt, Addr: t.Addr, Timeout: r.connectTimeout(t)})
}

// linkProbeTarget returns the target to probe next: one of those of the own region that
// have answered last. Connections to other regions go through gateways.
func (r *Reducer) linkProbeTarget() *targetState {
	var list []*targetState
	for _, t := range r.targets {
		if r.isLocal(t) && t.listed && !t.terminated {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(b.answeredAt, a.answeredAt), cmp.Compare(a.ID, b.ID))
	})
	return list[r.links.probes%min(len(list), maxLinkProbeTargets)]
}

// linkProbed handles the result of a probe of the links.
func (r *Reducer) linkProbed(now clock.Time, ev *LinkProbed) {
	l := &r.links
	if ev.Listening == ListeningYes {
		l.probing = false
		r.linkOpened(now, now)
		return
	}
	r.linkFailed(now, l.probedAt)
	if l.failures == 0 {
		l.probing = false
		return
	}
	r.timers.add(timer{at: now.Add(linkProbeInterval), purpose: dueLinkProbe})
}

// linkProbeDue probes again unless a connection was opened meanwhile.
func (r *Reducer) linkProbeDue(now clock.Time) {
	if r.links.failures == 0 {
		r.links.probing = false
		return
	}
	r.probeLinks(now)
}
