package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/target"
)

// workClass says what is known of an object at a target before a request for
// it is sent there. Latency is learned for each class apart.
type workClass uint8

const (
	// objectWarm: a request for the object was placed there lately. A target
	// remembers the object from the start of the first request for it, so one
	// that is still in flight counts.
	objectWarm workClass = iota
	objectCold
	objectNone // the request names no object
	workClasses
)

// initialWork is the latency expected before anything was measured; only the
// order and the ratios matter.
var initialWork = [workClasses]time.Duration{
	objectWarm: 150 * time.Millisecond,
	objectCold: 400 * time.Millisecond,
	objectNone: 150 * time.Millisecond,
}

// usualSpeed is the value of a target's speed that is as fast as the others;
// twice that is half as fast.
const usualSpeed = time.Second

// maxSpeedRatio bounds what one answer says of a target's speed: the work of a
// single request may lie far off the usual without being the target's doing.
const maxSpeedRatio = 8

// quickCounts: see wasWarm.
const quickCounts = 8

// routeState is what was learned of the requests of one route. Routes to the
// same service may ask for very different work.
type routeState struct {
	size mean                     // bytes of an answer
	work [workClasses]target.Mean // latency of answers, network aside
	// quick counts cold requests that were answered as if their objects had
	// been warm.
	quick uint
}

// routeOf returns the state of a route; forgetRoutes bounds their number.
func (r *Reducer) routeOf(name string) *routeState {
	s, ok := r.routes[name]
	if !ok {
		s = new(routeState)
		r.routes[name] = s
	}
	return s
}

// forgetRoutes drops what was learned of routes that a new configuration no
// longer has: their names would pile up over the days of a process.
func (r *Reducer) forgetRoutes(c *route.Config) {
	named := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		named[c.Routes[i].Name] = true
	}
	for name := range r.routes {
		if !named[name] {
			delete(r.routes, name)
		}
	}
}

// derivedFrom is the class from which the latency of one that was never
// measured is derived.
var derivedFrom = [workClasses]workClass{
	objectWarm: objectCold,
	objectCold: objectWarm,
	objectNone: objectNone,
}

// expected is the latency of a class in ns. One that was never measured is
// derived from another, so that the first choices don't take the unknown for
// the quicker.
func (s *routeState) expected(class workClass) float64 {
	other := derivedFrom[class]
	assumed := float64(initialWork[other])
	usual := s.work[other].Value(assumed) * float64(initialWork[class]) / assumed
	return s.work[class].Value(usual)
}

func classOf(now clock.Time, j *job, t *targetState) workClass {
	switch {
	case j.Object == "":
		return objectNone
	case j.obj.warmAt(now, t):
		return objectWarm
	default:
		return objectCold
	}
}

// expectedWork is the latency expected at t without a wait, in ns.
func (r *Reducer) expectedWork(now clock.Time, j *job, t *targetState) float64 {
	class := classOf(now, j, t)
	s := r.routeOf(j.Route)
	work := s.expected(class)
	if class == objectCold && r.on(FirstChoice) && !j.obj.warmSomewhere(now) && r.firstHere(j) == t {
		// Objects keep to their first choice where nothing speaks against it:
		// a coordinator that has just started knows no object's place, and
		// finds most of them where its predecessor has put them.
		work = (work + s.expected(objectWarm)) / 2
	}
	return work * t.speed.At(now, float64(usualSpeed)) / float64(usualSpeed)
}

// learnWork takes the latency of an answer.
func (r *Reducer) learnWork(now clock.Time, j *job, rep *Report) {
	t := j.target
	j.obj.remember(now, t)
	s := r.routeOf(j.Route)
	s.size.add(float64(rep.Bytes))
	work := rep.Took - rep.Connect - time.Duration(r.trip(t.region))
	work /= time.Duration(1 + j.waiting/max(t.Slots, 1))
	work = max(work, time.Millisecond)
	if j.class == objectCold && s.wasWarm(work) {
		return
	}
	if m := &s.work[j.class]; m.Known() { // the ratio to a guess says nothing
		t.learnSpeed(now, j.class, float64(work)/m.Value(0))
	}
	s.work[j.class].Observe(now, work)
}

// learnSpeed takes how much longer than usual an answer took.
func (t *targetState) learnSpeed(now clock.Time, class workClass, ratio float64) {
	least := 1.0 / maxSpeedRatio
	if class == objectCold {
		least = 1 // a quick one may have found its object warm
	}
	ratio = min(max(ratio, least), maxSpeedRatio)
	t.speed.Observe(now, time.Duration(ratio*float64(usualSpeed)))
}

// wasWarm reports whether a request for an object that was not known at its
// target was answered as if the object had been warm: another region's
// requests, or those before this coordinator's time, have brought it. Measured
// as cold work, such answers make cold starts seem cheap, and the target so
// quick that others' objects are moved to it.
//
// One in quickCounts is measured all the same, so that cold work that has truly
// become shorter is learned in the end.
func (s *routeState) wasWarm(work time.Duration) bool {
	if !s.work[objectCold].Known() {
		return false
	}
	if float64(work) > (s.expected(objectWarm)+s.expected(objectCold))/2 {
		return false
	}
	s.quick++
	return s.quick%quickCounts != 0
}
