package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// An entry VM may lose its links to all targets while callers, the store and the other
// VMs still reach it. Each failure to open a connection looks like that of its target.
// What tells the two apart is whether this VM can open a connection to any other target:
// after a failure it probes targets that have answered recently, one after the other,
// until one can be connected to.
//
// Until then, its requests go through other entry VMs (detourTo), as those to other
// regions do: such a gateway sends the request once and returns the result. Once several
// targets could not be connected to, the VM's links are down, and what ends its requests
// says nothing of their targets.

// links is what a VM knows of its own links to targets.
type links struct {
	openedAt clock.Time // when a connection to a target was last known to be opened
	// failed are the targets to which none could be opened since.
	failed    []fleet.TargetID
	failedAt  clock.Time // when the latest attempt to open one was begun
	down      bool
	downSince clock.Time
	probing   bool // a probe is under way or scheduled
	probe     linkProbe
	// refused are targets that have refused a probe since a connection was last opened.
	// Whether they have terminated becomes clear when one is opened again.
	refused []*targetState
	detours uint64 // requests to targets of the own region that went through other VMs
}

// linkProbe is the latest probe of the links.
type linkProbe struct {
	target *targetState
	began  clock.Time
	count  int // of probes since a connection was last opened
}

const (
	// minLinkFailures is how many targets cannot be connected to before the links count
	// as down. With fewer, the targets themselves may have failed.
	minLinkFailures = 3
	// linkProbeInterval is the time between two probes while the links are down.
	linkProbeInterval = 500 * time.Millisecond
	// maxLinkProbeTargets is the number of targets that are probed in turn.
	maxLinkProbeTargets = 8
)

// linkOpened records that a connection to a target was opened at the given time.
func (r *Reducer) linkOpened(now, at clock.Time) {
	l := &r.links
	l.openedAt = max(l.openedAt, at)
	if len(l.failed) == 0 || at.Before(l.failedAt) {
		return
	}
	if l.down {
		r.out.LinkChanges = append(r.out.LinkChanges, LinkChange{Failed: len(l.failed), Age: now.Sub(l.downSince)})
	}
	wasDown, refused := l.down, l.refused
	l.failed, l.down, l.refused, l.probe.count = nil, false, nil, 0
	for _, t := range refused {
		if wasDown {
			r.probeTermination(now, t) // a device on the way may have refused
		} else {
			r.provedTerminated(now, t)
		}
	}
}

// linkFailed records that a connection to t, begun at the given time, could not be
// opened.
func (r *Reducer) linkFailed(now, began clock.Time, t *targetState) {
	l := &r.links
	if l.openedAt.After(began) {
		return // another one was opened meanwhile
	}
	l.failedAt = max(l.failedAt, began)
	if !l.hasFailed(t) && len(l.failed) < maxLinkProbeTargets {
		l.failed = append(l.failed, t.ID)
	}
	if !l.down && len(l.failed) >= minLinkFailures {
		l.down, l.downSince = true, now
		r.out.LinkChanges = append(r.out.LinkChanges, LinkChange{Down: true, Failed: len(l.failed), Age: now.Sub(l.openedAt)})
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
		r.scheduleLinkProbe(now)
		return
	}
	l.probe = linkProbe{target: t, began: now, count: l.probe.count + 1}
	r.out.LinkProbes = append(r.out.LinkProbes, Probe{Target: t.ID, StartedAt: t.StartedAt, Addr: t.Addr, Timeout: connectTimeout(r.rtt(t.region))})
}

func (r *Reducer) scheduleLinkProbe(now clock.Time) {
	r.timers.add(timer{at: now.Add(linkProbeInterval), purpose: dueLinkProbe})
}

// linkProbeTarget returns the target to probe next: one of those of the own region that
// have answered last, those that have not failed first. It returns nil if there is none.
// Connections to other regions go through gateways.
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
	for _, t := range list {
		if !r.links.hasFailed(t) && !t.probing {
			return t
		}
	}
	return list[r.links.probe.count%min(len(list), maxLinkProbeTargets)]
}

// hasFailed reports whether t could not be connected to since a connection was last
// opened.
func (l *links) hasFailed(t *targetState) bool { return slices.Contains(l.failed, t.ID) }

// linkProbed handles the result of a probe of the links. As long as it is open whether
// they are down, the next target is probed at once.
func (r *Reducer) linkProbed(now clock.Time, ev *LinkProbed) {
	l := &r.links
	if l.probe.target == nil || l.probe.target.ID != ev.Target {
		return // probed by an earlier process
	}
	if ev.Listening == ListeningYes {
		l.probing = false
		r.linkOpened(now, now)
		return
	}
	isNew := !l.hasFailed(l.probe.target)
	r.linkFailed(now, l.probe.began, l.probe.target)
	switch {
	case len(l.failed) == 0:
		l.probing = false
	case l.down || !isNew:
		r.scheduleLinkProbe(now)
	default:
		r.probeLinks(now)
	}
}

// linkProbeDue probes again unless a connection was opened meanwhile.
func (r *Reducer) linkProbeDue(now clock.Time) {
	if len(r.links.failed) == 0 {
		r.links.probing = false
		return
	}
	r.probeLinks(now)
}
