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
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/shift"
	"github.com/azurethread/azurethread/decide/steer"
	"github.com/azurethread/azurethread/decide/token"
)

// Options of an Engine.
type Options struct {
	Self     fleet.VM
	FleetKey []byte
	Seed     uint64
	Dispatch dispatch.Options // VM, Domain, Region and Seed are filled in
	Member   member.Options
	// NearRTT and FarRTT are the round trips to entry VMs of other failure
	// domains inside the region, and in other regions.
	NearRTT, FarRTT time.Duration
}

// Engine is the state of one entry VM.
type Engine struct {
	self     fleet.VM
	opts     Options
	dispatch *dispatch.State
	ledger   *token.Ledger
	member   *member.State
	loads    *load.State
	config   *config.State
	damper   steer.Damper

	services  map[fleet.ServiceName]catalogue.Service
	open      map[dispatch.RequestID]openToken
	catalogue *catalogue.Catalogue
	table     *shift.Table
	blocks    *block.Table
	vms       []fleet.VM // of all domains, by id
	weights   map[steer.DomainService]steer.Weight

	wakes       wakes
	memberReady member.Ready
	configReady config.Ready
	arrival     dispatch.Arrive
	loadsOf     []dispatch.ServiceLoad
	samples     []load.Sample
}

// wakes are the instants at which each part wants to be ticked.
type wakes struct {
	dispatch, member, config, refresh clock.Time
}

func (w *wakes) next() clock.Time {
	return clock.Min(clock.Min(w.dispatch, w.member), clock.Min(w.config, w.refresh))
}

// New returns the engine of an entry VM that knows only itself.
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
		services: make(map[fleet.ServiceName]catalogue.Service),
		open:     make(map[dispatch.RequestID]openToken),
		vms:      []fleet.VM{o.Self},
		wakes:    wakes{dispatch: clock.Never},
	}
}

// Step applies ev and adds its effects to out.
func (e *Engine) Step(now clock.Time, ev Event, out *Ready) {
	switch ev := ev.(type) {
	case *Call:
		e.call(now, ev, out)
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
	case *Machines:
		e.machines(now, ev.List, out)
	case *Blocks:
		e.blocks = ev.Table
		e.publish(out)
	default:
		out.Dispatch.Violations = append(out.Dispatch.Violations, dispatch.Violation{
			Invariant: "known-event",
			Detail:    fmt.Sprintf("%T", ev),
		})
	}
	out.wake = e.wakes.next()
}

// tick passes time in the parts that are due.
func (e *Engine) tick(now clock.Time, out *Ready) {
	if e.wakes.dispatch <= now {
		e.stepDispatch(now, &dispatch.Tick{}, out)
	}
	if e.wakes.member <= now {
		e.stepMember(now, &member.Tick{}, out)
	}
	if e.wakes.config <= now {
		e.stepConfig(now, &config.Tick{}, out)
	}
	if e.wakes.refresh <= now {
		e.refresh(now, out)
	}
}

// Catalogue returns the configuration in force; nil before the first.
func (e *Engine) Catalogue() *catalogue.Catalogue { return e.catalogue }

// Config gives access to the spread of the configuration, for status pages
// and for writes.
func (e *Engine) Config() *config.State { return e.config }

// Member gives access to the membership, for status pages.
func (e *Engine) Member() *member.State { return e.member }

// Loads gives access to the known load, for status pages.
func (e *Engine) Loads() *load.State { return e.loads }

// Shifts returns the traffic shifts of the configuration in force.
func (e *Engine) Shifts() []catalogue.Shift {
	if e.catalogue == nil {
		return nil
	}
	return e.catalogue.Shifts
}

// MovedShare returns the part of a shift's traffic counted as moved.
func (e *Engine) MovedShare(clock.Time, string) catalogue.Share { return 0 }

// HoldOf returns why a shift stands still; empty while it advances.
func (e *Engine) HoldOf(id string) string {
	for _, s := range e.Shifts() {
		if s.ID == id {
			return s.Hold
		}
	}
	return ""
}
