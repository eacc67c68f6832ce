package steer

import (
	"math"
	"math/bits"
)

// candidate is a failure domain in the order of an answer.
type candidate struct {
	domain int
	tier   int     // position among the preferred domains that keep the block
	score  float64 // weighted draw; larger is better
	best   int     // index in View.vms
	second int     // index in View.vms; -1 where the domain has one entry VM
}

// notPreferred is the tier of domains that are chosen by score.
const notPreferred = math.MaxInt

func (c *candidate) better(o *candidate) bool {
	if c.tier != o.tier {
		return c.tier < o.tier
	}
	return c.score > o.score
}

// ranking holds the best failure domains of a region, best first.
type ranking struct {
	at [MaxChoices]candidate
	n  int
}

// insert adds c, dropping the worst candidate where the ranking is full.
func (r *ranking) insert(c candidate) {
	i := r.n
	if i == len(r.at) {
		i--
		if !c.better(&r.at[i]) {
			return
		}
	} else {
		r.n++
	}
	for i > 0 && c.better(&r.at[i-1]) {
		r.at[i] = r.at[i-1]
		i--
	}
	r.at[i] = c
}

// rank orders the failure domains of a region for a block.
//
// All entry VMs of a domain have the same weight, so the best weighted draw of
// the domain is the weighted best draw. That takes one logarithm a domain
// instead of one a VM and gives the same order.
func (v *View) rank(r *ranking, region int, hash uint64, weights []Weight, preferred []int) {
	g := &v.regions[region]
	for i := g.from; i < g.to; i++ {
		c := v.draw(i, hash)
		c.score *= float64(weights[i])
		c.tier = tierOf(i, preferred)
		if c.tier != notPreferred && !keeps(hash, v.domains[i].seed, weights[i]) {
			c.tier = notPreferred
		}
		r.insert(c)
	}
}

// draw returns the two entry VMs of domain d with the best draws, and the
// score of the best for weight 1.
func (v *View) draw(d int, hash uint64) candidate {
	from, to := v.domains[d].from, v.domains[d].to
	c := candidate{domain: d, best: from, second: -1}
	var first, second uint64
	for i, seed := range v.seeds[from:to] {
		x := mix(hash ^ seed)
		switch {
		case x > first:
			second, c.second = first, c.best
			first, c.best = x, from+i
		case x > second:
			second, c.second = x, from+i
		}
	}
	if to-from == 1 {
		c.second = -1
	}
	c.score = -1 / math.Log(unit(first))
	return c
}

func tierOf(d int, preferred []int) int {
	for i, p := range preferred {
		if p == d {
			return i
		}
	}
	return notPreferred
}

// keeps reports whether a preferred domain of weight w keeps the block. The
// kept blocks of a smaller weight are among those of a larger one.
func keeps(hash, seed uint64, w Weight) bool {
	hi, _ := bits.Mul64(mix(hash^seed), uint64(FullWeight))
	return hi < uint64(w)
}

// nextRegion chooses a region other than except by rendezvous over the
// regions' weights for the service's row, or -1 where there is none.
func (v *View) nextRegion(c client, row, except int) int {
	best, score := -1, math.Inf(-1)
	for i := range v.regions {
		if i == except || i == c.home.region {
			continue
		}
		s := -v.totals[row][i] / math.Log(unit(mix(c.hash^v.regions[i].seed)))
		if s > score {
			best, score = i, s
		}
	}
	return best
}

// unit maps x to the open interval (0, 1).
func unit(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix spreads x over all 64 bits (the finaliser of MurmurHash3), so that the
// draws of VMs whose seeds differ in few bits are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
