package daemon

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/serve/core"
)

// executor carries out effects. It must not block.
type executor interface {
	execute(now clock.Time, r *engine.Ready)
}

// Core steps the engine.
type Core = core.Core[*engine.Engine]

func newCore(now func() clock.Time, eng *engine.Engine, exec executor) *Core {
	var ready engine.Ready // touched only by the goroutine that is stepping
	step := func(now clock.Time, ev any) clock.Time {
		ready.Reset()
		eng.Step(now, ev, &ready)
		exec.execute(now, &ready)
		return ready.Wake()
	}
	return core.New(now, eng, step, &engine.Tick{})
}
