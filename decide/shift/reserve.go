package shift

import (
	"math"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Reservation is load that a step of another shift will bring to a region and
// that the region's figures do not show yet.
type Reservation struct {
	Shift   string
	Region  fleet.Region
	Service fleet.ServiceName
	Slots   float64 // infinite where the step's load is unknown
}

// pendingStep is a change of share that is being written or that has yet to
// show: the share was Low or High before and will be the other.
type pendingStep struct {
	Shift       catalogue.Shift
	Services    []fleet.ServiceName
	Low, High   catalogue.Share
	Rise        bool
	VisibleFrom clock.Time // from when on figures show it; Never while it is being written
}

// appendReservations appends the reservations of a pending step. A receiver whose figures
// began after the step took effect shows its load already. A step back loads
// the sender in the same way as a rise loads receivers.
func appendReservations(o Options, st pendingStep, e *Evidence, out []Reservation) []Reservation {
	for _, f := range flowsOf(o, &st.Shift, st.Services, e) {
		if !st.Rise {
			f.receivers = []receiver{{region: st.Shift.From, load: f.sender, fraction: 1}}
		}
		for _, r := range f.receivers {
			if r.load != nil && !r.load.Since.Before(st.VisibleFrom) {
				continue
			}
			out = append(out, Reservation{
				Shift:   st.Shift.ID,
				Region:  r.region,
				Service: f.service,
				Slots:   expectedSlots(o, &f, st) * r.fraction,
			})
		}
	}
	return out
}

func expectedSlots(o Options, f *flow, st pendingStep) float64 {
	if f.count == nil || !f.count.valid() {
		return math.Inf(1)
	}
	return f.maxSlots(o, st.Low, st.High)
}

// reservedSlots sums the reservations at a region and names the largest holder.
func reservedSlots(all []Reservation, r fleet.Region, s fleet.ServiceName) (slots float64, holder string) {
	most := 0.0
	for i := range all {
		v := &all[i]
		if v.Region != r || v.Service != s {
			continue
		}
		slots += v.Slots
		if v.Slots > most {
			most, holder = v.Slots, v.Shift
		}
	}
	return slots, holder
}
