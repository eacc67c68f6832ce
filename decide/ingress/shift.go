package ingress

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

// regionShare is the part of a service's requests from this region that run in
// other regions. It moves slowly, up and down: a share that jumps hands load
// and objects to targets that are not prepared for them, and takes them away
// from those that are.
//
// Each object belongs to one side of the share by its hash, so that it has its
// place in one region; only objects at the edge change sides when the share
// moves.
type regionShare struct {
	known  bool
	bound  float64 // by which the share may change within shiftWindow
	target float64 // the share that is kept to
	wanted float64 // moving average of where requests would be answered sooner
	at     clock.Time

	now, before shiftCount
	began       clock.Time // of the window that now counts

	ran  shiftHistory
	owed debts
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
	// shiftWindow is the time over which the operators bound the change of the
	// share, and shiftUse the part of their bound that is used: the rest is for
	// the noise of arrivals. Among the 400 requests and more of all services in a
	// window, its deviation is 0.035 at most for shares that don't move.
	shiftWindow = 2 * time.Second
	shiftUse    = 0.8
	// shiftFew is the number of requests in a window below which shares mean
	// nothing.
	shiftFew = 10
	// shiftBand is how far the share of the last seconds may lie off the target,
	// as a part of the operators' bound. Beyond it, requests go to the side that
	// lacks them; those of an object that is warm on the other side, and
	// would start cold, only beyond shiftFar.
	shiftBand = 1.0 / 3
	shiftFar  = 2.0 / 3
	// wantedWeight is the weight of one request in the wanted share.
	wantedWeight = 0.03
)

// begin sets the first target: what the region's slots leave over if all
// regions had the same number of requests.
func (s *regionShare) begin(now clock.Time, first float64) {
	s.known = true
	s.target, s.wanted = first, first
	s.at, s.began = now, now
}

// stated is what a coordinator says of its share.
func (s *regionShare) stated() HeardShare { return HeardShare{Known: s.known, Elsewhere: s.target} }

// hear takes a coordinator's share, to begin with if this VM has to place
// requests itself.
func (s *regionShare) hear(now clock.Time, h HeardShare) {
	if !h.Known || !(h.Elsewhere >= 0 && h.Elsewhere <= 1) {
		return
	}
	if !s.known {
		s.began = now
	}
	s.known = true
	s.target, s.wanted = h.Elsewhere, h.Elsewhere
	s.at = now
}

// follow moves the target towards the wanted share, by at most the part of the
// bound that is used, and no further than the band around the share that ran.
// A target that had run away from it, since objects stay where they are warm,
// forced requests back into a region that was full: at one with a tenth of the
// slots, 3 in 100 of its requests were refused beside free targets elsewhere.
// That alone never moves it away from the wanted share.
func (s *regionShare) follow(now clock.Time, remote bool) {
	sample := 0.0
	if remote {
		sample = 1
	}
	s.wanted += wantedWeight * (sample - s.wanted)
	rate := s.bound * shiftUse / shiftWindow.Seconds()
	step := rate * min(now.Sub(s.at), time.Second).Seconds()
	s.at = now
	band := shiftBand * s.bound
	ran := s.target + s.off(now)
	wanted := min(max(s.wanted, ran-band), ran+band)
	if (wanted > s.target) != (s.wanted > s.target) {
		return
	}
	s.target += min(max(wanted-s.target, -step), step)
}

// count counts a request that was placed by a choice between two sides.
func (s *regionShare) count(now clock.Time, remote bool) {
	s.turn(now)
	one := shiftCount{all: 1}
	if remote {
		one.remote = 1
	}
	s.now.add(one)
	low, high := s.ran.limits(now, s.bound)
	s.owed.count(low, high, one)
	s.ran.count(now, one)
}

func (s *regionShare) turn(now clock.Time) {
	switch passed := now.Sub(s.began); {
	case passed < shiftWindow/2:
	case passed < shiftWindow:
		s.before, s.now = s.now, shiftCount{}
		s.began = s.began.Add(shiftWindow / 2)
	default:
		s.before, s.now = shiftCount{}, shiftCount{}
		s.began = now
	}
}

// off is by how much the share of the last seconds lies above the target.
func (s *regionShare) off(now clock.Time) float64 {
	s.turn(now)
	all := s.now.all + s.before.all
	if all < shiftFew {
		return 0
	}
	return float64(s.now.remote+s.before.remote)/float64(all) - s.target
}

// side is the side of the share to which something belongs.
type side uint8

const (
	sideAny side = iota
	sideOwn
	sideOthers
)

// sideOf returns the side to which a request for an object belongs, and why.
// hash lies between 0 and 1; warm is the only side where the object is warm, if
// there is one. It goes before the hash while the share is near its target: an
// object that changes sides starts cold there.
func (s *regionShare) sideOf(now clock.Time, hash float64, warm side) (side, Why) {
	low, high := s.ran.limits(now, s.bound)
	forced := s.owed.forced(low, high, hash)
	switch off := s.off(now) / s.bound; {
	case forced != sideAny:
		return forced, WhyHistory
	case off > shiftFar:
		return sideOwn, WhyFarOff
	case off < -shiftFar:
		return sideOthers, WhyFarOff
	case warm != sideAny:
		return warm, WhyWarm
	case off > shiftBand:
		return sideOwn, WhyBand
	case off < -shiftBand:
		return sideOthers, WhyBand
	case hash < s.target:
		return sideOthers, WhyHash
	default:
		return sideOwn, WhyHash
	}
}

// mayCross reports whether a request may go to the side to which it does not
// belong: the share stays near its target.
func (s *regionShare) mayCross(now clock.Time, toRemote bool) bool {
	if toRemote {
		return s.owed.own < 1 && s.off(now) < shiftBand*s.bound
	}
	return s.owed.others < 1 && s.off(now) > -shiftBand*s.bound
}

// sideHash places an object on the scale of a share.
func (r *Reducer) sideHash(object string) float64 {
	if object == "" {
		return r.rng.Float64()
	}
	const scale = 1 << 53
	return float64(rank.Score("side", object)>>11) / scale
}

// firstShare is the share with which a service begins.
func (r *Reducer) firstShare(s *service) float64 {
	regions := make(map[fleet.Region]bool)
	own, all := 0, 0
	for _, t := range s.targets {
		if t.Draining {
			continue
		}
		regions[t.region] = true
		all += t.Slots
		if r.here(t) {
			own += t.Slots
		}
	}
	if all == 0 {
		return 0
	}
	fair := float64(all) / float64(max(len(regions), 1))
	return max(0, 1-float64(own)/fair)
}

// shiftBound is the operators' bound on the change of a share; 1 if they state
// none.
func (r *Reducer) shiftBound() float64 {
	if b := r.opts.Bounds.RegionShift; b > 0 {
		return b
	}
	return 1
}
