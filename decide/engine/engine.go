package engine

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/tally"
	"github.com/azurethread/azurethread/decide/token"
)

// Options configure an Engine.
type Options struct {
	Self     fleet.VM
	FleetKey []byte
	Seed     uint64
	Now      clock.Time       // start of the process
	Dispatch dispatch.Options // New sets VM, Domain, Region and Seed
	Member   member.Options
	Shift    shift.Options
	// NearRTT is the round-trip time to entry VMs in other failure domains of
	// the same region, FarRTT the one to entry VMs in other regions.
	NearRTT, FarRTT time.Duration
}

// Engine holds the state of one entry VM.
type Engine struct {
	self        fleet.VM
	opts        Options
	dispatch    *dispatch.State
	ledger      *token.Ledger
	member      *member.State
	loads       *load.State
	config      *config.State
	damper      steer.Damper
	machine     *machine.State
	tally       *tally.State
	shiftRunner *shift.Runner

	services   map[fleet.ServiceName]catalogue.Service
	openTokens map[dispatch.RequestID]openToken
	catalogue  *catalogue.Catalogue
	table      *shift.Table
	blocks     *block.Table
	vms        []fleet.VM // of all domains, sorted by ID
	weights    map[steer.DomainService]steer.Weight
	records    map[dispatch.RequestID]requestRecord
	evidence   shift.Evidence
	runsShifts bool // holds the lease of the shift runner
	// watchMachineList is true if the platform's machine list is to be watched.
	watchMachineList bool
	reading          bool // reads the platform for its failure domain

	wakeTimes    wakeTimes
	memberReady  member.Ready
	configReady  config.Ready
	tallyReady   tally.Ready
	machineReady machine.Ready
	effects      []shift.Effect
	arrival      dispatch.Arrive
	ownLoads     []dispatch.ServiceLoad
	loadSamples  []load.Sample
	tallySamples []tally.Sample
}

// wakeTimes are the times at which each part needs its next tick.
type wakeTimes struct {
	dispatch, member, config, refresh, tally, runner, machine clock.Time
}

func (w *wakeTimes) next() clock.Time {
	w1 := clock.Min(clock.Min(w.dispatch, w.member), clock.Min(w.config, w.refresh))
	w2 := clock.Min(clock.Min(w.tally, w.runner), w.machine)
	return clock.Min(w1, w2)
}

// New returns the engine of an entry VM whose membership holds only itself.
func New(o Options) *Engine {
	o.Dispatch.VM = o.Self.ID
	o.Dispatch.Domain = o.Self.Domain
	o.Dispatch.Region = o.Self.Region
	o.Dispatch.Seed = o.Seed
	return &Engine{
		self:     o.Self,
		opts:     o,
		dispatch: dispatch.New(o.Dispatch),
		ledger:   token.NewLedger(o.FleetKey, o.Self.ID, o.Self.Incarnation, token.Options{}),
		member:   member.New(o.Self, o.Seed, o.Member),
		loads:    load.New(o.Self, load.Options{}),
		config: config.New(config.Config{
			Self:        o.Self.ID,
			Domain:      o.Self.Domain,
			Incarnation: o.Self.Incarnation,
			Seed:        o.Seed,
		}),
		machine:     machine.New(o.Now, o.Self, o.Seed),
		tally:       tally.New(o.Now, o.Self, tally.Options{}),
		shiftRunner: shift.NewRunner(o.Shift),
		records:     make(map[dispatch.RequestID]requestRecord),
		services:    make(map[fleet.ServiceName]catalogue.Service),
		openTokens:  make(map[dispatch.RequestID]openToken),
		vms:         []fleet.VM{o.Self},
		wakeTimes:   wakeTimes{dispatch: clock.Never, tally: clock.Never, runner: clock.Never},
	}
}

// Step applies ev and adds its effects to out.
func (e *Engine) Step(now clock.Time, ev Event, out *Ready) {
	switch ev := ev.(type) {
	case *Call:
		e.admitCall(now, ev, out)
	case *Reject:
		out.Refusals = append(out.Refusals, e.reject(now, ev))
	case *dispatch.CallerGone:
		e.callerGone(now, ev, out)
	case dispatch.Event:
		e.stepDispatch(now, ev, out)
	case *Tick:
		e.tick(now, out)
	case *PeerMessage:
		e.peerMessage(now, ev, out)
	case member.Event:
		e.stepMember(now, ev, out)
	case config.Event:
		e.stepConfig(now, ev, out)
	case tally.Event:
		e.stepTally(now, ev, out)
	case shift.Event:
		e.stepShiftRunner(now, ev, out)
	case *MachineListRead:
		e.stepMachine(now, &machine.ListRead{List: ev.List}, out)
	case machine.Event:
		e.stepMachine(now, ev, out)
	case *BlockTableLoaded:
		e.blocks = ev.Table
		e.rebuildView(out)
	default:
		out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
			Invariant: "known-event",
			Detail:    fmt.Sprintf("%T", ev),
		})
	}
	out.WatchMachineList = e.watchMachineList
	out.wake = e.wakeTimes.next()
}

// tick steps the parts whose wake time has come.
func (e *Engine) tick(now clock.Time, out *Ready) {
	if e.wakeTimes.dispatch <= now {
		e.stepDispatch(now, &dispatch.Tick{}, out)
	}
	if e.wakeTimes.member <= now {
		e.stepMember(now, &member.Tick{}, out)
	}
	if e.wakeTimes.config <= now {
		e.stepConfig(now, &config.Tick{}, out)
	}
	if e.wakeTimes.tally <= now {
		e.stepTally(now, &tally.Tick{}, out)
	}
	if e.wakeTimes.runner <= now {
		e.stepShiftRunner(now, shift.Tick{}, out)
	}
	if e.wakeTimes.machine <= now {
		e.stepMachine(now, &machine.Tick{}, out)
	}
	if e.wakeTimes.refresh <= now {
		e.refresh(now, out)
	}
}

// Catalogue returns the configuration in force, or nil if there is none yet.
func (e *Engine) Catalogue() *catalogue.Catalogue { return e.catalogue }

// Config returns the state of the configuration's distribution, for status
// pages and for writes.
func (e *Engine) Config() *config.State { return e.config }

// Member returns the membership state, for status pages.
func (e *Engine) Member() *member.State { return e.member }

// Loads returns the load state, for status pages.
func (e *Engine) Loads() *load.State { return e.loads }

// Shifts returns the traffic shifts of the configuration in force.
func (e *Engine) Shifts() []catalogue.Shift {
	if e.catalogue == nil {
		return nil
	}
	return e.catalogue.Shifts
}

// OwnLoads returns this entry VM's own load by service.
func (e *Engine) OwnLoads() []dispatch.ServiceLoad { return e.dispatch.AppendLoads(nil) }
