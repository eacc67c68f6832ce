package shift

import (
	"math"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Reservation is load that a step of another shift will add to a region and
// that the region's figures do not include yet.
type Reservation struct {
	Shift   string
	Region  fleet.Region
	Service fleet.ServiceName
	Slots   float64 // infinite where the step's load is unknown
}

// pendingStep is a change of share between Low and High that is being written
// or that the figures do not include yet.
type pendingStep struct {
	Shift       catalogue.Shift
	Services    []fleet.ServiceName
	Low, High   catalogue.Share
	Rise        bool       // from Low to High, otherwise from High to Low
	VisibleFrom clock.Time // instant from which figures include it; Never while it is being written
}

// appendReservations appends the reservations of a pending step. Receivers
// whose figures began after the step took effect are left out, as their figures
// include its load. A step back adds load to the sender as a rise does to the
// receivers.
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

// expectedSlots returns the slots that a pending step may take, or infinity if
// there is no valid count.
func expectedSlots(o Options, f *flow, st pendingStep) float64 {
	if f.count == nil || !f.count.valid() {
		return math.Inf(1)
	}
	return f.maxSlots(o, st.Low, st.High)
}

// reservedSlots returns the slots reserved at a region and the shift that has
// reserved the most.
func reservedSlots(all []Reservation, r fleet.Region, s fleet.ServiceName) (slots float64, shiftID string) {
	largest := 0.0
	for i := range all {
		v := &all[i]
		if v.Region != r || v.Service != s {
			continue
		}
		slots += v.Slots
		if v.Slots > largest {
			largest, shiftID = v.Slots, v.Shift
		}
	}
	return slots, shiftID
}
