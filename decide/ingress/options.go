package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/quota"
)

// Options of a Reducer.
type Options struct {
	Self   fleet.VMID
	Domain fleet.Domain
	// Regions holds the region of every failure domain.
	Regions map[fleet.Domain]fleet.Region
	Bounds  Bounds
	// DrainTime is how long a target still serves after its registration was
	// removed; 0: unknown.
	DrainTime time.Duration
	Seed      uint64
	// Start is the time at which this process started.
	Start clock.Time
	// Disabled is the set of mechanisms that are switched off in experiments.
	Disabled Mechanisms
	// Admission has requests that wait for a slot served by class and by fair shares of
	// their accounts, and refuses those that would wait in vain on arrival (package
	// admission). Otherwise they are served by priority, then in the order of arrival.
	Admission bool
	// Hedge limits second sends that save time; the zero value allows none.
	Hedge hedge.Policy
}

// Bounds are the operators' limits for all entry VMs together.
type Bounds struct {
	// A cold target may get at most ColdFactor times its service's cold rate plus
	// ColdSlack requests within a second.
	ColdFactor float64
	ColdSlack  float64
	// The targets of a service may get at most RetryRatio of its requests plus
	// RetrySlack as retries within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// RegionShift is the largest share of a region's requests that may change the
	// region in which they run from one shiftWindow to the next. 0: unlimited.
	RegionShift float64
	// Quota is the rule for the quotas of client accounts.
	Quota quota.Rule
	// RevokeTime is within which time a key that is taken away must not be accepted any
	// more; 0: not stated.
	RevokeTime time.Duration
}

// Timing and weights of the decisions.
const (
	// defaultTimeout limits a request whose caller states no deadline and whose
	// route has no timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long an answer is still awaited after the deadline that
	// was passed to the target: the target's own timeout answer may be on its way.
	answerMargin = 100 * time.Millisecond
	// maxWaitShare is the part of a route's aim that a request may wait for a free
	// target. A caller that is refused early can retry and still be served in
	// time; with waits of up to half of the aim, fewer callers were.
	maxWaitShare = 0.25
	// defaultAim is the aim of a route that states none.
	defaultAim = time.Second
	// minRetryAfter and maxRetryAfter limit the retry delay given to a refused
	// caller, as parts of the aim. Earlier retries would meet the same overload;
	// the answer to a later one would always be late.
	minRetryAfter = 0.1
	maxRetryAfter = 0.75
	// noConfigRetryAfter is the retry delay while no configuration is known: about
	// the time that reading it from the store takes.
	noConfigRetryAfter = 500 * time.Millisecond
	// localCandidates, remoteCandidates and domainCandidates are the numbers of
	// targets of the own region, of all other regions together and of the
	// request's own failure domain that are considered for an object that is not
	// warm there. More candidates find a free slot more often but keep fewer
	// objects warm. With three in the own region, or one in each other region,
	// more requests missed their aim: the place of an object then depended on the
	// current load, and a newly started coordinator did not find it again.
	localCandidates  = 2
	remoteCandidates = 1
	domainCandidates = 1
	// queueLimitNoObject is how many requests beyond its slots may be at a target
	// when a request without an object is sent there. When a slot becomes free, the
	// target can start the waiting request without a round trip.
	queueLimitNoObject = 1
	// minHeadroom is the part of a region's slots that is kept free as long as
	// other regions have room: the share that runs there rises while less is free.
	// This let more requests of the worst-served failure domain and of the
	// worst-served kind meet their aim.
	minHeadroom = 0.2
	// largeBody is the body size in bytes above which a request stays in its
	// region. A larger body exceeds the ten segments that TCP sends initially and
	// so needs a second round trip to another region, besides the cost of its
	// bytes there. For bodies of 60 KB, keeping them local saved more in bytes
	// than it cost in time.
	largeBody = 16 << 10
	// warmTTL is how long a target is assumed to remember an object.
	warmTTL = 30 * time.Second
	// initialLocalRTT and initialRemoteRTT are the round-trip times assumed within
	// a region and between regions until a connection was opened.
	initialLocalRTT  = 2 * time.Millisecond
	initialRemoteRTT = 100 * time.Millisecond
	// loadReportTTL is how long a target's report about requests of other entry
	// VMs is used.
	loadReportTTL = time.Second
	// minConnectTimeout and connectTimeoutRTTs determine the timeout for opening a
	// connection. After it the request is sent to another target; it is certain
	// that it has not run.
	minConnectTimeout  = 250 * time.Millisecond
	connectTimeoutRTTs = 3
	// maxNotReached is how many sends of a request that do not reach their targets
	// do not count as attempts.
	maxNotReached = 8
	// retryBudgetShare is the part of the allowed retry ratio and slack that is
	// used. The rest covers differences between this count and that of the
	// targets.
	retryBudgetShare = 0.85
	// maxColdOwners is how many entry VMs may consider themselves the owner of a
	// cold target at the same time.
	maxColdOwners = 2
	// minHedgeDelay is the minimum delay before an unanswered idempotent request
	// is sent a second time.
	minHedgeDelay = 500 * time.Millisecond
	// maxEjectedShare is the largest part of a service's targets in a region that
	// may be ejected because of failures.
	maxEjectedShare = 0.5
	// localKilobyteCost and remoteKilobyteCost are the delays charged per kilobyte
	// of answer that crosses failure domains or regions. Traffic between them is
	// expensive, so a large answer is better waited for nearby.
	localKilobyteCost  = 10 * time.Millisecond
	remoteKilobyteCost = 8 * time.Millisecond
)
