package enginetest

import (
	"fmt"
	"strings"

	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/shift"
)

// attemptName formats an attempt ID as its index and the number of times that
// the index was reused.
func attemptName(id dispatch.AttemptID) string {
	return fmt.Sprintf("%d/%d", uint64(id)&(1<<32-1), uint64(id)>>32)
}

// traceEvent traces an event that an engine processes. It omits ticks and
// messages between entry VMs, because there are many; their effects are traced.
func (v *VM) traceEvent(ev engine.Event) {
	if v.w.Options.Trace == nil {
		return
	}
	var s string
	switch e := ev.(type) {
	case *engine.Call:
		s = fmt.Sprintf("call %d service=%s hops=%d deadline=%v", e.Req, e.Service, e.Hops, e.Deadline.Sub(v.now()))
	case *dispatch.CallerGone:
		s = fmt.Sprintf("caller-gone %d", e.Req)
	case *dispatch.Answered:
		s = fmt.Sprintf("answered %d attempt=%s status=%d", e.Req, attemptName(e.Attempt), e.Status)
	case *dispatch.Failed:
		s = fmt.Sprintf("failed %d attempt=%s %s %s", e.Req, attemptName(e.Attempt), e.Verdict, e.Reason)
	case *dispatch.Health:
		s = fmt.Sprintf("health %s ok=%t in-flight=%d", e.Target, e.OK, e.InFlight)
	case *dispatch.Stop:
		s = "stop"
	case *config.PlatformRead:
		if e.Result == config.ReadFailed {
			s = "platform-read failed"
		}
	case *config.Accepted:
		s = fmt.Sprintf("accepted revision=%d", e.Catalogue.Revision)
	case shift.WriteResult:
		s = fmt.Sprintf("write-result %d %s conflict=%t", e.ID, e.Verdict, e.Conflict)
	case shift.Lease:
		if e.Held != v.engine.RunsShifts() {
			s = fmt.Sprintf("duty held=%t", e.Held)
		}
	}
	if s != "" {
		v.w.trace("%s < %s", v.Self.ID, s)
	}
}

func describeList(l *fleet.List) string {
	var b strings.Builder
	for _, t := range l.Targets {
		if t.State != fleet.Live {
			fmt.Fprintf(&b, " %s=%s", t.ID, t.State)
		}
	}
	for _, vm := range l.VMs {
		if vm.State != fleet.Live {
			fmt.Fprintf(&b, " %s=%s", vm.ID, vm.State)
		}
	}
	return b.String()
}

// traceEffects traces the effects of a step.
func (v *VM) traceEffects(r *engine.Ready) {
	if v.w.Options.Trace == nil {
		return
	}
	say := func(format string, args ...any) { v.w.trace("%s > %s", v.Self.ID, fmt.Sprintf(format, args...)) }
	d := &r.Dispatch
	for _, e := range d.Cancels {
		say("cancel %d attempt=%s replace=%t", e.Req, attemptName(e.Attempt), e.Replace)
	}
	for _, e := range d.Sends {
		say("send %d attempt=%s to %s", e.Req, attemptName(e.Attempt), e.Target)
	}
	for _, e := range d.Forwards {
		say("forward %d attempt=%s to %s", e.Req, attemptName(e.Attempt), e.VM)
	}
	for _, e := range d.Delivers {
		say("deliver %d attempt=%s", e.Req, attemptName(e.Attempt))
	}
	for _, e := range d.Replies {
		say("reply %d %s %s retry-after=%v", e.Req, e.Verdict, e.Reason, e.RetryAfter)
	}
	for _, e := range r.Refusals {
		say("refuse %d %s %s ask=%s answer=%d", e.Req, e.Verdict, e.Reason, e.AskVM, e.EarlierStatus)
	}
	for _, e := range d.Probes {
		say("probe %s", e.Target)
	}
	if r.Catalogue != nil {
		say("apply revision=%d%s", r.Catalogue.Revision, describeShares(r))
	}
	if r.MachineList != nil {
		say("machines%s", describeList(r.MachineList))
	}
	if r.VMs != nil {
		say("entry-vms %s", describeVMs(r.VMs))
	}
	for _, e := range r.Writes {
		say("write %d shift=%s expect=%d share=%d state=%s hold=%s", e.ID, e.Shift, e.Expect, e.Share, e.State, e.Hold)
	}
	for _, e := range r.Restore {
		say("restore revision=%d", e.Catalogue.Revision)
	}
}

func describeShares(r *engine.Ready) string {
	var b strings.Builder
	for _, s := range r.Catalogue.Shifts {
		fmt.Fprintf(&b, " %s=%s:%d", s.ID, s.State, s.Share)
	}
	return b.String()
}

func describeVMs(vms []fleet.VM) string {
	var b strings.Builder
	for i, vm := range vms {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%s", vm.ID, vm.State)
	}
	return b.String()
}
