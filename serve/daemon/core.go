package daemon

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/serve/core"
)

// executor executes the effects of a step. It must not block.
type executor interface {
	execute(now clock.Time, r *engine.Ready)
}

// Core runs the engine, one event at a time.
type Core = core.Core[*engine.Engine]

func newCore(now func() clock.Time, eng *engine.Engine, exec executor) *Core {
	var ready engine.Ready // used only by the goroutine that runs the step
	step := func(now clock.Time, ev any) clock.Time {
		ready.Reset()
		eng.Step(now, ev, &ready)
		exec.execute(now, &ready)
		return ready.Wake()
	}
	return core.New(now, eng, step, &engine.Tick{})
}
