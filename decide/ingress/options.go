package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Options of a Reducer.
type Options struct {
	Self   fleet.VMID
	Domain fleet.Domain
	// Regions holds the region of every failure domain.
	Regions map[fleet.Domain]fleet.Region
	Bounds  Bounds
	// Drain is for how long a target serves after its registration has gone;
	// 0: not known.
	Drain time.Duration
	Seed  uint64
	// Start is when this process began.
	Start clock.Time
	// Without are the mechanisms that are switched off, for experiments.
	Without Mechanisms
}

// Bounds are the operators' limits on all entry VMs together.
type Bounds struct {
	// ColdFactor times a service's rate of cold requests, plus ColdSlack, may
	// reach a cold target within a second.
	ColdFactor float64
	ColdSlack  float64
	// RepeatRatio of the requests for a service, plus RepeatSlack, may reach
	// its targets as repeats within RepeatWindow.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// RegionShift is the largest part of a region's requests that may change
	// the region in which they run from one shiftWindow to the next. 0: any.
	RegionShift float64
}

// Timing and weights of the decisions.
const (
	// defaultPatience bounds a request whose caller states no deadline and
	// whose route has no timeout.
	defaultPatience = 30 * time.Second
	// answerMargin is how long after the deadline that was passed on a target's
	// own answer is still awaited: it is on its way then.
	answerMargin = 100 * time.Millisecond
	// queueShare is the part of a route's aim that a request may wait for a free
	// target. A caller that is told early can still be served in time on its
	// second try; with waits of half an aim, fewer of them were.
	queueShare = 0.25
	// defaultAim stands for the aim of a route that has none.
	defaultAim = time.Second
	// returnMin and returnMax bound the time after which room is expected for a
	// refused caller, as parts of the aim. Sooner, it would meet the same crowd;
	// later, its answer is late whenever it comes.
	returnMin = 0.1
	returnMax = 0.75
	// noConfigReturn is the time to come back while no configuration is known:
	// about what reading it from the store takes.
	noConfigReturn = 500 * time.Millisecond
	// localChoices, remoteChoices and domainChoices are how many targets of the
	// own region, of all other regions together and of the request's own failure
	// domain are considered for an object that is not warm there. More of them
	// find a free slot more often and keep fewer objects warm: with three nearby
	// or one in each other region more requests missed their aim, since an
	// object's place then hung on the load of the moment and was not found again
	// by a coordinator that had just started.
	localChoices  = 2
	remoteChoices = 1
	domainChoices = 1
	// queueWithoutObject is how many requests beyond its slots may be at a target
	// when one comes that names no object: the target starts the next one
	// without a round trip.
	queueWithoutObject = 1
	// headroom is the part of a region's slots that is kept free, as far as other
	// regions have room: the share that runs there rises while less is free.
	// More requests of the worst-served failure domain and of the worst-served kind
	// were in time with it.
	headroom = 0.2
	// largeBody is the size of a body, in bytes, beyond which a request stays in
	// its region: more than the ten segments that TCP sends at first, so it
	// takes a second round trip to another region, besides what bytes cost
	// there. With bodies of 60 KB it saved more in bytes than it cost in time.
	largeBody = 16 << 10
	// warmFor is how long an object is taken to be remembered by a target.
	warmFor = 30 * time.Second
	// initialNear and initialFar are round trips inside a region and between
	// regions, before a connection was opened.
	initialNear = 2 * time.Millisecond
	initialFar  = 100 * time.Millisecond
	// reportFor is how long a target's word about requests of others counts.
	reportFor = time.Second
	// connectFloor and connectTrips bound the opening of a connection: a target
	// that does not answer by then is tried elsewhere, with proof that nothing
	// ran.
	connectFloor = 250 * time.Millisecond
	connectTrips = 3
	// repeatShare is the part of the allowed ratio and slack of repeats that is
	// used; the rest covers what is counted differently at the targets.
	repeatShare = 0.85
	// coldOwners is how many entry VMs may take themselves for the owner of a
	// cold target at the same time.
	coldOwners = 2
	// hedgeFloor is the least time before a second send of an idempotent
	// request that is unanswered.
	hedgeFloor = 500 * time.Millisecond
	// ejectShare is the largest part of a service's targets in a region that
	// is out of use because of failures.
	ejectShare = 0.5
	// nearBytes and farBytes are the delay that a kilobyte of answer counts as
	// when it crosses failure domains or regions: traffic between them is
	// dear, and a large answer is better waited for nearby.
	nearBytes = 10 * time.Millisecond
	farBytes  = 8 * time.Millisecond
)
