package steer

import (
	"math"
	"math/bits"
)

// candidate is a failure domain in the order of an answer.
type candidate struct {
	domain int
	tier   int     // index among the block's preferred domains, or notPreferred
	score  float64 // weighted score; larger is better
	best   int     // index in View.vms
	second int     // index in View.vms; -1 if the domain has one entry VM
}

// notPreferred is the tier of domains that are ranked by score: those that the
// block doesn't prefer, or that don't keep it at their weight.
const notPreferred = math.MaxInt

func (c *candidate) better(o *candidate) bool {
	if c.tier != o.tier {
		return c.tier < o.tier
	}
	return c.score > o.score
}

// ranking holds the best failure domains of a region, best first.
type ranking struct {
	candidates [MaxChoices]candidate
	n          int
}

// insert adds c and drops the worst candidate if the ranking is full.
func (r *ranking) insert(c candidate) {
	i := r.n
	if i == len(r.candidates) {
		i--
		if !c.better(&r.candidates[i]) {
			return
		}
	} else {
		r.n++
	}
	for i > 0 && c.better(&r.candidates[i-1]) {
		r.candidates[i] = r.candidates[i-1]
		i--
	}
	r.candidates[i] = c
}

// rank orders the failure domains of a region for a block.
//
// All entry VMs of a domain have the same weight, so only the highest score of
// the domain needs to be weighted. This takes one logarithm per domain instead
// of one per VM and gives the same order. If all domains have the same weight,
// weighting doesn't change the order and no logarithm is taken.
func (v *View) rank(r *ranking, region int, hash uint64, row int, preferred []int) {
	g := &v.regions[region]
	even := v.evenWeights[row][region]
	for i := g.from; i < g.to; i++ {
		first, second := v.topScores(i, hash)
		c := candidate{domain: i, tier: notPreferred, best: v.vmOfScore(i, first), second: -1}
		if second != 0 {
			c.second = v.vmOfScore(i, second)
		}
		w := v.weights[row][i]
		if t := tierOf(i, preferred); t != notPreferred && keepsBlock(hash, v.domains[i].seed, w) {
			c.tier = t
		}
		c.score = float64(first)
		if !even {
			c.score = -float64(w) / math.Log(unitInterval(first))
		}
		r.insert(c)
	}
}

// scoreIndexMask masks the low bits of a score, which hold the index of the
// entry VM in its domain; the other bits are a hash.
const scoreIndexMask = 1<<16 - 1

// topScores returns the two highest scores of the entry VMs of domain d; the
// second is 0 if there is only one VM.
//
// The maxima are computed without branches: which score is higher is random,
// and a mispredicted branch costs more than computing the score.
func (v *View) topScores(d int, hash uint64) (first, second uint64) {
	from, to := v.domains[d].from, v.domains[d].to
	for i, seed := range v.seeds[from:to] {
		x := mix(hash^seed)&^scoreIndexMask | uint64(i)&scoreIndexMask
		second = max(second, min(first, x))
		first = max(first, x)
	}
	return first, second
}

// vmOfScore returns the index in View.vms of the entry VM of domain d that has
// the score x.
func (v *View) vmOfScore(d int, x uint64) int { return v.domains[d].from + int(x&scoreIndexMask) }

// tierOf returns the index of domain d in preferred, or notPreferred.
func tierOf(d int, preferred []int) int {
	for i, p := range preferred {
		if p == d {
			return i
		}
	}
	return notPreferred
}

// keepsBlock reports whether a preferred domain of weight w keeps the block.
// The blocks kept at a smaller weight are a subset of those kept at a larger
// one.
func keepsBlock(hash, seed uint64, w Weight) bool {
	hi, _ := bits.Mul64(mix(hash^seed), uint64(FullWeight))
	return hi < uint64(w)
}

// nextRegion selects a region other than except and the client's home by
// rendezvous hashing over the regions' weights in the service's row. It returns
// -1 if there is none.
func (v *View) nextRegion(c client, row, except int) int {
	best, score := -1, math.Inf(-1)
	for i := range v.regions {
		if i == except || i == c.home.region {
			continue
		}
		s := -v.regionWeights[row][i] / math.Log(unitInterval(mix(c.hash^v.regions[i].seed)))
		if s > score {
			best, score = i, s
		}
	}
	return best
}

// unitInterval maps x to the open interval (0, 1).
func unitInterval(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix is the finaliser of MurmurHash3. It spreads differences over all 64 bits,
// so that the scores of VMs whose seeds differ in few bits are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
