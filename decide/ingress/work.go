package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/pace"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/decide/target"
)

// workClass classifies a request by what is known of its object at the target
// before it is sent there. Latency is measured per class.
type workClass uint8

const (
	// objectWarm: a request for the object was recently placed there. A target
	// remembers the object from the start of the first request for it, so a
	// request in flight counts too.
	objectWarm workClass = iota
	objectCold
	objectNone // the request names no object
	workClasses
)

// initialWork is the latency assumed before the first measurement; only the order
// and the ratios matter.
var initialWork = [workClasses]time.Duration{
	objectWarm: 150 * time.Millisecond,
	objectCold: 400 * time.Millisecond,
	objectNone: 150 * time.Millisecond,
}

// referenceSpeed is the speed value of a target that is as fast as the others;
// twice that value means half as fast.
const referenceSpeed = time.Second

// maxSpeedRatio limits the effect of one answer on a target's speed: the work of a
// single request may differ much from the usual, whichever target runs it.
const maxSpeedRatio = 8

// quickSampleEvery is the sampling interval of looksWarm.
const quickSampleEvery = 8

// routeState holds the measurements of one route. Routes to the same service may
// do very different work.
type routeState struct {
	size movingAverage            // bytes of an answer
	work [workClasses]target.Mean // latency of answers without the network
	// quickAnswers counts cold requests that were answered as if their objects had
	// been warm.
	quickAnswers uint
}

// routeOf returns the state of a route; dropRemovedRoutes limits the number of
// states.
func (r *Reducer) routeOf(name string) *routeState {
	s, ok := r.routes[name]
	if !ok {
		s = new(routeState)
		r.routes[name] = s
	}
	return s
}

// dropRemovedRoutes drops the state of routes that a new configuration no longer
// has. Otherwise it would accumulate over the lifetime of the process.
func (r *Reducer) dropRemovedRoutes(c *route.Config) {
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

// derivedFrom is the class from which the latency of an unmeasured class is
// derived.
var derivedFrom = [workClasses]workClass{
	objectWarm: objectCold,
	objectCold: objectWarm,
	objectNone: objectNone,
}

// expected returns the latency of a class in ns. That of an unmeasured class is
// derived from another, so that the first choices do not prefer unmeasured work.
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
	case j.obj.isWarmAt(now, t):
		return objectWarm
	default:
		return objectCold
	}
}

// expectedWork returns the expected latency at t without waiting, in ns.
func (r *Reducer) expectedWork(now clock.Time, j *job, t *targetState) float64 {
	class := classOf(now, j, t)
	s := r.routeOf(j.Route)
	work := s.expected(class)
	if class == objectCold && r.on(FirstChoice) && !j.obj.isWarmAnywhere(now) && r.firstLocal(j) == t {
		// Prefer the first target in the object's order: a newly started
		// coordinator does not know where objects are warm, and its predecessor
		// placed most objects at their first target.
		work = (work + s.expected(objectWarm)) / 2
	}
	return work * t.speed.At(now, float64(referenceSpeed)) / float64(referenceSpeed) * t.pace.Factor(now)
}

// observeWork records the latency of an answer.
func (r *Reducer) observeWork(now clock.Time, j *job, rep *Report) {
	t := j.target
	j.obj.markWarm(now, t)
	s := r.routeOf(j.Route)
	s.size.observe(float64(rep.Bytes))
	stay := rep.Took - rep.Connect - time.Duration(r.rtt(t.region))
	work := stay / time.Duration(1+j.queuedAhead/max(t.Slots, 1))
	work = max(work, time.Millisecond)
	j.svc.share.rest.demand.add(now, work) // slots are taken for as long as it took
	work = atUsualPace(work, stay, rep.Load.Pace)
	if j.class == objectCold && s.looksWarm(work) {
		return
	}
	if m := &s.work[j.class]; m.Known() { // a ratio to an assumed latency says nothing about the target
		t.observeSpeed(now, j.class, float64(work)/m.Value(0))
	}
	s.work[j.class].Observe(now, work)
}

// atUsualPace returns how long work would have taken at the usual pace, if its request
// stayed at its target for stay and the answer stated percent (0: nothing). Otherwise the
// pace would count twice: in the measurements, and again in the expected work.
func atUsualPace(work, stay time.Duration, percent int) time.Duration {
	factor := pace.MeanFactor(percent, stay)
	if factor == 1 {
		return work
	}
	return max(time.Duration(float64(work)/factor), time.Millisecond)
}

// observeSpeed records the ratio of an answer's latency to the usual one.
func (t *targetState) observeSpeed(now clock.Time, class workClass, ratio float64) {
	least := 1.0 / maxSpeedRatio
	if class == objectCold {
		least = 1 // a quick one may have found its object warm
	}
	ratio = min(max(ratio, least), maxSpeedRatio)
	t.speed.Observe(now, time.Duration(ratio*float64(referenceSpeed)))
}

// looksWarm reports whether a request for an object that was not known at its
// target was answered as fast as if the object had been warm: requests of another
// region, or from before this coordinator started, have made it warm. If such
// answers were measured as cold work, cold starts would seem cheap and the target
// so fast that objects of other targets would be moved to it.
//
// One in quickSampleEvery is still measured as cold, so that cold work that has
// actually become faster is detected eventually.
func (s *routeState) looksWarm(work time.Duration) bool {
	if !s.work[objectCold].Known() {
		return false
	}
	if float64(work) > (s.expected(objectWarm)+s.expected(objectCold))/2 {
		return false
	}
	s.quickAnswers++
	return s.quickAnswers%quickSampleEvery != 0
}
