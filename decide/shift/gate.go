package shift

import (
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// GateWindow is the time over which a Gate enforces the cap.
const GateWindow = time.Minute

// Gate enforces the cap at the look-ups of one entry VM, from local counts
// alone.
//
// Without it, a block below the share that grows tenfold would make the shift
// exceed its cap until the growth is counted, reported and acted upon. The gate
// allows a look-up to be moved only while the moves of the present window stay
// within the cap. If every entry VM does so, the fleet as a whole does. The gate
// bounds look-ups, not requests: callers that cache answers for different times
// can send unequal numbers of requests, which Counter counts. It is not safe
// for concurrent use.
type Gate struct {
	since clock.Time
	gates []shiftGate
}

// shiftGate counts the look-ups of one shift and one service.
type shiftGate struct {
	shift   string
	from    fleet.Region
	service fleet.ServiceName
	cap     catalogue.Share
	total   uint64
	moved   uint64
}

// NewGate returns the gate of the moving shifts of c.
func NewGate(now clock.Time, c *catalogue.Catalogue) *Gate {
	g := &Gate{since: now}
	for _, s := range moving(c) {
		for _, name := range servicesOf(c, &s) {
			g.gates = append(g.gates, shiftGate{shift: s.ID, from: s.From, service: name, cap: s.Limits.MaxShare})
		}
	}
	return g
}

// Allow counts a look-up by a client at home in the given region and reports
// whether the shift movedBy may move it. It must be called for every look-up,
// with an empty movedBy if no shift moves it, because the cap is a share of all
// look-ups. An unknown shift may move nothing.
func (g *Gate) Allow(now clock.Time, service fleet.ServiceName, home fleet.Region, movedBy string) bool {
	if now.Sub(g.since) >= GateWindow {
		g.reset(now)
	}
	pass := false
	for i := range g.gates {
		e := &g.gates[i]
		if e.from != home || e.service != service {
			continue
		}
		e.total++
		if e.shift == movedBy && (e.moved+1)*catalogue.ShareUnit <= e.total*uint64(e.cap) {
			e.moved++
			pass = true
		}
	}
	return pass
}

func (g *Gate) reset(now clock.Time) {
	g.since = now
	for i := range g.gates {
		g.gates[i].total = 0
		g.gates[i].moved = 0
	}
}
