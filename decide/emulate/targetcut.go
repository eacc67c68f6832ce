package emulate

import (
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
)

const (
	// cutGrace is how long after the beginning of a cut from targets first attempts
	// begin to count.
	cutGrace = 4 * time.Second
	// ackTimeout is how long a VM's kernel waits for the acknowledgement of what it has
	// sent before it closes the connection.
	ackTimeout = 1500 * time.Millisecond
)

// targetCut is the loss of VMs' links to all targets.
type targetCut struct{ how string }

// CutTries counts the callers' first attempts at VMs that are cut off from all targets,
// and those at the others meanwhile.
type CutTries struct {
	Cut    TryCounts `json:"cut"`
	Others TryCounts `json:"others"`
}

// TryCounts counts first attempts and how many of them were served.
type TryCounts struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
}

func (c *TryCounts) countServed() {
	if c != nil {
		c.Served++
	}
}

func (c TryCounts) share() float64 { return float64(c.Served) / float64(max(c.Asked, 1)) }

// cutFromTargets cuts VMs off from all targets until the event ends.
func (sim *simulation) cutFromTargets(e *Event) {
	vms := sim.shuffledVMs(e)
	cut := &targetCut{how: e.How}
	if cut.how == "" {
		cut.how = CutHangs
	}
	sim.targetCuts++
	if sim.targetCuts == 1 {
		sim.countTriesFrom = sim.now.Add(cutGrace)
	}
	for _, v := range vms {
		v.targetCut = cut
		if cut.how == CutResets {
			sim.resetSends(v)
		}
	}
	sim.after(seconds(e.Duration), func() {
		sim.targetCuts--
		for _, v := range vms {
			v.targetCut = nil
		}
	})
}

// hangs reports whether open connections carry nothing.
func (c *targetCut) hangs() bool { return c != nil && c.how == CutHangs }

// isCut reports whether s needs a link that its VM has lost.
func (s *targetSend) isCut() bool { return s.vm.targetCut != nil && s.gateway == nil }

// resetSends ends the connections of v to targets.
func (sim *simulation) resetSends(v *vm) {
	for end := range v.connections {
		if end.gateway == "" {
			delete(v.connections, end)
		}
	}
	for _, id := range sortedKeys(v.attempts) {
		if s := v.attempts[id]; s.gateway == nil {
			sim.after(0, func() { sim.endSend(s, lostConnection(s)) })
		}
	}
}

func lostConnection(s *targetSend) *ingress.Failed {
	return &ingress.Failed{Attempt: s.id, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
}

// loseSend loses a request that was sent on an open connection.
func (sim *simulation) loseSend(s *targetSend) {
	sim.after(ackTimeout, func() { sim.endSend(s, lostConnection(s)) })
}

// failOpening fails a send that needs a new connection. A connection that becomes free
// meanwhile is not used.
func (sim *simulation) failOpening(s *targetSend) {
	p := s.vm.connections.pool(s.connectionEnd())
	for i, w := range p.waiting {
		if w == s {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	sim.after(sim.openFailure(s.vm, s.connectTimeout), func() {
		sim.endSend(s, &ingress.Failed{Attempt: s.id, Verdict: verdict.NotRun, Reason: verdict.ReasonConnect})
	})
}

// openFailure returns after which time the opening of a connection fails at v.
func (sim *simulation) openFailure(v *vm, timeout time.Duration) time.Duration {
	if v.targetCut.hangs() {
		return timeout
	}
	return 2 * millis(sim.pattern.Network.DomainMS)
}

// failProbe fails a probe of a VM that is cut off from targets.
func (sim *simulation) failProbe(v *vm, p ingress.Probe, result func(ingress.Listening) ingress.Event) {
	found, process := ingress.ListeningNo, v.processNumber
	if v.targetCut.hangs() {
		found = ingress.ListeningUnknown
	}
	sim.after(sim.openFailure(v, p.Timeout), func() {
		if v.processNumber == process {
			sim.step(v, result(found))
		}
	})
}

// countFirstTry counts a caller's attempt at v if it is the first one and counts.
func (sim *simulation) countFirstTry(c *caller, v *vm) *TryCounts {
	c.attempts++
	if c.attempts > 1 || c.deathQuery != nil || sim.targetCuts == 0 || sim.now.Before(sim.countTriesFrom) {
		return nil
	}
	counts := &sim.recorder.result.TargetCut.Others
	if v.targetCut != nil {
		counts = &sim.recorder.result.TargetCut.Cut
	}
	counts.Asked++
	return counts
}
