package engine

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/tally"
)

// stepTally steps the collection of evidence and passes new evidence to the
// shift runner.
func (e *Engine) stepTally(now clock.Time, ev tally.Event, out *Ready) {
	r := &e.tallyReady
	e.tally.Step(now, ev, r)
	e.wakeTimes.tally = r.WakeAt
	for _, s := range r.Sends {
		// The recipient may be missing in this VM's membership. The answer
		// then uses the connection that the recipient has opened.
		vm, ok := e.findVM(s.To)
		if !ok {
			vm = fleet.VM{ID: s.To}
		}
		out.Peers = append(out.Peers, PeerSend{To: vm, Tally: s.Msg})
	}
	if r.Evidence {
		e.evidence = e.tally.Evidence(now)
		e.stepShiftRunner(now, shift.Measured{Evidence: e.evidence}, out)
	}
}

// stepShiftRunner steps the runner of the traffic shifts.
func (e *Engine) stepShiftRunner(now clock.Time, ev shift.Event, out *Ready) {
	if d, ok := ev.(shift.Lease); ok && d.Held != e.runsShifts {
		e.runsShifts = d.Held
		e.stepTally(now, &tally.LeaseChanged{Held: d.Held}, out)
	}
	if e.wakeTimes.runner <= now {
		// The runner returns a wake time only if it needs one. A past wake
		// time that stays set would always be due and block all later ticks.
		e.wakeTimes.runner = clock.Never
	}
	e.effects = e.shiftRunner.Step(now, ev, e.effects[:0])
	for _, f := range e.effects {
		switch f := f.(type) {
		case shift.Write:
			out.Writes = append(out.Writes, f)
		case shift.Wake:
			e.wakeTimes.runner = f.At
		}
	}
	_, broken := e.shiftRunner.Violations()
	for _, v := range broken {
		out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
			Invariant: "shift: " + string(v.Rule),
			Detail:    v.Shift + ": " + v.Detail,
		})
	}
}

// applyShifts applies the shifts of a new configuration.
func (e *Engine) applyShifts(now clock.Time, c *catalogue.Catalogue, out *Ready) {
	e.table = shift.NewTable(c)
	out.Gate = shift.NewGate(now, c)
	e.stepTally(now, &tally.Configured{Catalogue: c}, out)
	e.stepShiftRunner(now, shift.Configured{Catalogue: c}, out)
}

// eligibleForLease reports whether this entry VM should try to acquire the
// lease of the shift runner.
func (e *Engine) eligibleForLease(domains []member.DomainView) bool {
	ids := tally.Candidates(domains, tally.DefaultCandidates)
	return slices.Contains(ids, e.self.ID)
}

// requestRecord holds the data of a request that the counts of shifts and the
// metering of services need.
type requestRecord struct {
	service fleet.ServiceName
	home    fleet.Region
	block   uint64
	movedBy string
	arrived clock.Time
	sent    clock.Time // last sent to a target or an entry VM; 0 if never
	local   bool       // last sent to a target of this failure domain
	hops    uint8
}

// startRecord creates the record of a request.
func (e *Engine) startRecord(now clock.Time, c *Call) {
	s := requestRecord{service: c.Service, home: c.Home, block: c.Block, hops: c.Hops, arrived: now}
	if e.table != nil && c.Home != e.self.Region {
		if _, id, moved := e.table.Region(c.Service, c.Home, c.Block); moved {
			s.movedBy = id
		}
	}
	e.records[c.Req] = s
}

// recordSend records that a request was sent to a target (local) or to an entry
// VM.
func (e *Engine) recordSend(now clock.Time, req dispatch.RequestID, local bool) {
	if s, ok := e.records[req]; ok {
		s.sent, s.local = now, local
		e.records[req] = s
	}
}

// endRecord closes the record of a request when it is answered.
func (e *Engine) endRecord(now clock.Time, req dispatch.RequestID, ok bool) {
	s, known := e.records[req]
	if !known {
		return
	}
	delete(e.records, req)
	var busy time.Duration
	if s.sent != 0 {
		busy = now.Sub(s.sent)
	}
	if s.hops == 0 {
		e.tally.RecordRequest(s.service, s.home, s.block, s.movedBy, busy)
	}
	// A refused forward is not a failed answer, because its sender tries
	// another VM. If it counted, shifts would hold wherever requests are
	// forwarded to a busy region.
	refused := !ok && s.sent == 0 && s.hops == 0
	if s.local || refused {
		e.tally.Meter().RecordAnswer(now, s.service, now.Sub(s.arrived), ok)
	}
}

// MovedShare returns the share of a shift's traffic that was moved, according to
// the latest evidence. Only the process that runs the shifts has it.
func (e *Engine) MovedShare(id string) catalogue.Share {
	var total, moved uint64
	for i := range e.evidence.Counts {
		if e.evidence.Counts[i].Shift == id {
			total += e.evidence.Counts[i].Total
			moved += e.evidence.Counts[i].Moved
		}
	}
	if total == 0 {
		return 0
	}
	return catalogue.Share(moved * catalogue.ShareUnit / total)
}

// HoldReason returns why a shift is on hold: the decision of this process if it
// runs the shifts, otherwise the reason that the runner has written to the
// catalogue.
func (e *Engine) HoldReason(id string) string {
	if e.runsShifts {
		for _, s := range e.shiftRunner.Status(nil) {
			if s.Shift == id {
				return s.Decision.Reason.String()
			}
		}
	}
	if e.catalogue == nil {
		return ""
	}
	s, _ := e.catalogue.Shift(id)
	return s.Hold
}

// RunsShifts reports whether this process runs the shifts.
func (e *Engine) RunsShifts() bool { return e.runsShifts }
