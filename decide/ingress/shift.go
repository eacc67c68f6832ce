package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// regionShare is the share of a service's requests from this region that run in
// other regions. It changes slowly in both directions: a sudden change would move
// load and objects to targets that are not prepared for them, and away from those
// that are.
//
// Each object belongs to one side of the share by its hash, so that it has its
// place in one region; when the share changes, only objects at the boundary change
// sides.
type regionShare struct {
	known     bool
	maxChange float64 // of the share within shiftWindow
	setpoint  float64 // the share in force
	wanted    float64 // moving average of where requests would be answered sooner
	updatedAt clock.Time

	current, previous shiftCount
	windowStart       clock.Time // of current

	history shiftHistory
	debts   debts
	rest    restingShare
}

// shiftCount counts the requests of one window.
type shiftCount struct{ all, remote int }

func (c shiftCount) share() float64 { return float64(c.remote) / float64(c.all) }

func (c *shiftCount) add(o shiftCount) {
	c.all += o.all
	c.remote += o.remote
}

func (c *shiftCount) subtract(o shiftCount) {
	c.all -= o.all
	c.remote -= o.remote
}

const (
	// shiftWindow is the time over which operators limit the change of the share,
	// and shiftBoundShare the part of their limit that is used. The rest is for
	// random variation of arrivals: with a constant share and at least 400 requests
	// of all services in a window, its standard deviation is at most 0.035.
	shiftWindow     = 2 * time.Second
	shiftBoundShare = 0.8
	// minShareSamples is the number of requests in a window below which its share
	// is not meaningful.
	minShareSamples = 10
	// shiftBand is how far the recent share may deviate from the setpoint, as a
	// part of the operators' limit. Beyond it, requests go to the side that has
	// too few; requests whose object is warm on the other side, and would start
	// cold, do so only beyond shiftFarBand.
	shiftBand    = 1.0 / 3
	shiftFarBand = 2.0 / 3
	// wantedWeight is the weight of one request in the wanted share.
	wantedWeight = 0.03
)

// start sets the initial share.
func (s *regionShare) start(now clock.Time, first float64) {
	s.known = true
	s.setpoint, s.wanted = first, first
	s.updatedAt, s.windowStart = now, now
}

// advertised returns the share that a coordinator reports to other VMs.
func (s *regionShare) advertised() RemoteShare { return RemoteShare{Known: s.known, Share: s.setpoint} }

// adopt takes over a coordinator's share, from which this VM starts if it has to
// place requests itself.
func (s *regionShare) adopt(now clock.Time, h RemoteShare) {
	if !h.Known || !(h.Share >= 0 && h.Share <= 1) {
		return
	}
	if !s.known {
		s.windowStart = now
	}
	s.known = true
	s.setpoint, s.wanted = h.Share, h.Share
	s.updatedAt = now
}

// adjust moves the setpoint towards the wanted share, by at most the used part of
// the limit, and not beyond the band around the actual share. Objects stay where
// they are warm, so the actual share may lag behind the setpoint. Without the band,
// that forced requests back into a full region: in a region with a tenth of the
// slots, 3 in 100 of its requests were refused while targets of other regions were
// free. The band alone never moves the setpoint away from the wanted share.
func (s *regionShare) adjust(now clock.Time, remote bool) {
	sample := 0.0
	if remote {
		sample = 1
	}
	s.wanted += wantedWeight * (sample - s.wanted)
	rate := s.maxChange * shiftBoundShare / shiftWindow.Seconds()
	step := rate * min(now.Sub(s.updatedAt), time.Second).Seconds()
	s.updatedAt = now
	band := shiftBand * s.maxChange
	actual := s.setpoint + s.deviation(now)
	aim := s.rest.aim(s.wanted)
	// Objects that stay where they are warm must not keep the setpoint out of its range.
	next := s.rest.aim(min(max(aim, actual-band), actual+band))
	if (next > s.setpoint) != (aim > s.setpoint) {
		return
	}
	s.setpoint += min(max(next-s.setpoint, -step), step)
}

// count records a placed request that had a target on both sides.
func (s *regionShare) count(now clock.Time, remote bool) {
	s.rotate(now)
	one := shiftCount{all: 1}
	if remote {
		one.remote = 1
	}
	s.current.add(one)
	low, high := s.history.limits(now, s.maxChange)
	s.debts.count(low, high, one)
	s.history.count(now, one)
}

// rotate starts a new half window if the current one is over.
func (s *regionShare) rotate(now clock.Time) {
	switch passed := now.Sub(s.windowStart); {
	case passed < shiftWindow/2:
	case passed < shiftWindow:
		s.previous, s.current = s.current, shiftCount{}
		s.windowStart = s.windowStart.Add(shiftWindow / 2)
	default:
		s.previous, s.current = shiftCount{}, shiftCount{}
		s.windowStart = now
	}
}

// deviation returns by how much the recent share exceeds the setpoint.
func (s *regionShare) deviation(now clock.Time) float64 {
	s.rotate(now)
	all := s.current.all + s.previous.all
	if all < minShareSamples {
		return 0
	}
	return float64(s.current.remote+s.previous.remote)/float64(all) - s.setpoint
}

// side is one side of the share: the own region or the others.
type side uint8

const (
	sideAny side = iota
	sideLocal
	sideRemote
)

// sideFor returns the side to which a request for an object belongs, and the
// reason. hash is between 0 and 1; warm is the only side where the object is warm,
// if there is one. While the share is near its setpoint, warm takes precedence
// over the hash: an object that changes sides starts cold there.
func (s *regionShare) sideFor(now clock.Time, hash float64, warm side) (side, RegionReason) {
	low, high := s.history.limits(now, s.maxChange)
	forced := s.debts.forced(low, high, hash)
	deviation := s.deviation(now)
	intoRange := s.rest.side(s.setpoint, s.setpoint+deviation)
	switch off := deviation / s.maxChange; {
	case forced != sideAny:
		return forced, ReasonHistory
	case intoRange != sideAny:
		return intoRange, ReasonRange
	case off > shiftFarBand:
		return sideLocal, ReasonFarBand
	case off < -shiftFarBand:
		return sideRemote, ReasonFarBand
	case warm != sideAny:
		return warm, ReasonWarm
	case off > shiftBand:
		return sideLocal, ReasonBand
	case off < -shiftBand:
		return sideRemote, ReasonBand
	case hash < s.setpoint:
		return sideRemote, ReasonHash
	default:
		return sideLocal, ReasonHash
	}
}

// mayCross reports whether a request may go to the side to which it does not
// belong without moving the share too far from its setpoint. warm means that its object
// is warm somewhere.
func (s *regionShare) mayCross(now clock.Time, toRemote, warm bool) bool {
	deviation := s.deviation(now)
	rangeAllows := s.rest.mayCross(s.setpoint+deviation, s.maxChange, toRemote, warm)
	if toRemote {
		return s.debts.local < 1 && (deviation < shiftBand*s.maxChange || rangeAllows)
	}
	return s.debts.remote < 1 && (deviation > -shiftBand*s.maxChange || rangeAllows)
}

// objectHash maps an object to a number between 0 and 1; without an object it is
// random.
func (r *Reducer) objectHash(object string) float64 {
	if object == "" {
		return r.rng.Float64()
	}
	const scale = 1 << 53
	return float64(rank.Score("side", object)>>11) / scale
}

// regionSlots counts the slots of a service at targets that may get requests.
type regionSlots struct {
	own, all int
	regions  int // that have any
}

// fair returns the slots of each region if all had the same number.
func (x regionSlots) fair() float64 { return float64(x.all) / float64(max(x.regions, 1)) }

// share returns the part of the own region's requests that exceeds its slots if all
// regions have the same number of requests.
func (x regionSlots) share() float64 {
	if x.all == 0 {
		return 0
	}
	return max(0, 1-float64(x.own)/x.fair())
}

// slotsOf counts the slots of s.
func (r *Reducer) slotsOf(s *service) regionSlots {
	regions := make(map[fleet.Region]bool)
	var x regionSlots
	for _, t := range s.targets {
		if !t.listed {
			continue
		}
		regions[t.region] = true
		x.all += t.Slots
		if r.isLocal(t) {
			x.own += t.Slots
		}
	}
	x.regions = len(regions)
	return x
}

// shiftBound is the operators' limit on the change of a share; 1 if they set none.
func (r *Reducer) shiftBound() float64 {
	if b := r.opts.Bounds.RegionShift; b > 0 {
		return b
	}
	return 1
}
