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

// stepTally steps the gathering of evidence, and plans on what is new.
func (e *Engine) stepTally(now clock.Time, ev tally.Event, out *Ready) {
	r := &e.tallyReady
	e.tally.Step(now, ev, r)
	e.wakes.tally = r.Wake
	for _, s := range r.Sends {
		// An answer may go to an entry VM that membership does not name here;
		// it takes the connection that the asker has opened.
		vm, ok := e.vm(s.To)
		if !ok {
			vm = fleet.VM{ID: s.To}
		}
		out.Peers = append(out.Peers, PeerSend{To: vm, Tally: s.Msg})
	}
	if r.Evidence {
		e.evidence = e.tally.Evidence(now)
		e.stepRunner(now, shift.Measured{Evidence: e.evidence}, out)
	}
}

// stepRunner steps the runner of shifts.
func (e *Engine) stepRunner(now clock.Time, ev shift.Event, out *Ready) {
	if d, ok := ev.(shift.Duty); ok && d.Held != e.leads {
		e.leads = d.Held
		e.stepTally(now, &tally.Lead{Held: d.Held}, out)
	}
	if e.wakes.runner <= now {
		// The runner states a wake only when it has one; a past one left in
		// place would be due for ever, and keep every other tick from coming.
		e.wakes.runner = clock.Never
	}
	e.effects = e.runner.Step(now, ev, e.effects[:0])
	for _, f := range e.effects {
		switch f := f.(type) {
		case shift.Write:
			out.Writes = append(out.Writes, f)
		case shift.Wake:
			e.wakes.runner = f.At
		}
	}
	_, broken := e.runner.Violations()
	for _, v := range broken {
		out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
			Invariant: "shift: " + string(v.Rule),
			Detail:    v.Shift + ": " + v.Detail,
		})
	}
}

// shiftsChanged takes over the shifts of a new configuration.
func (e *Engine) shiftsChanged(now clock.Time, c *catalogue.Catalogue, out *Ready) {
	e.table = shift.NewTable(c)
	out.Gate = shift.NewGate(now, c)
	e.stepTally(now, &tally.Configured{Catalogue: c}, out)
	e.stepRunner(now, shift.Configured{Catalogue: c}, out)
}

// eligible reports whether this entry VM should try for the lease of the
// runner.
func (e *Engine) eligible(domains []member.DomainView) bool {
	ids := tally.Candidates(domains, tally.DefaultCandidates)
	return slices.Contains(ids, e.self.ID)
}

// served is what is noted of a request for the counts of shifts and the
// measures of services.
type served struct {
	service fleet.ServiceName
	home    fleet.Region
	block   uint64
	movedBy string
	arrived clock.Time
	sent    clock.Time // last handed to a target or an entry VM; 0: never
	local   bool       // last handed to a target of the own failure domain
	hops    uint8
}

// note begins the record of a request.
func (e *Engine) note(now clock.Time, c *Call) {
	s := served{service: c.Service, home: c.Home, block: c.Block, hops: c.Hops, arrived: now}
	if e.table != nil && c.Home != e.self.Region {
		if _, id, moved := e.table.Region(c.Service, c.Home, c.Block); moved {
			s.movedBy = id
		}
	}
	e.records[c.Req] = s
}

// handed notes that a request has gone to a target or to an entry VM.
func (e *Engine) handed(now clock.Time, req dispatch.RequestID, local bool) {
	if s, ok := e.records[req]; ok {
		s.sent, s.local = now, local
		e.records[req] = s
	}
}

// conclude ends the record of a request at its final answer.
func (e *Engine) conclude(now clock.Time, req dispatch.RequestID, ok bool) {
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
		e.tally.Served(s.service, s.home, s.block, s.movedBy, busy)
	}
	// A refused forward is no failed answer: its sender turns to somebody else.
	// Counted, it held shifts back wherever spill was tried at a busy region.
	refused := !ok && s.sent == 0 && s.hops == 0
	if s.local || refused {
		e.tally.Meter().Answered(now, s.service, now.Sub(s.arrived), ok)
	}
}

// MovedShare returns the part of a shift's traffic that the last evidence
// counts as moved. It is known only to the process that runs the shifts.
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

// HoldOf returns why a shift stands still: the decision of this process if it
// runs the shifts, else what the runner has written to the catalogue.
func (e *Engine) HoldOf(id string) string {
	if e.leads {
		for _, s := range e.runner.Status(nil) {
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

// Leads reports whether this process runs the shifts.
func (e *Engine) Leads() bool { return e.leads }
