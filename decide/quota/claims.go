package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

const (
	// ClaimTTL is how long a stated demand is taken into account.
	ClaimTTL = time.Second
	// claimTime is how many seconds of a claimant's part are kept for it until it asks
	// for them. It exceeds the time in which a VM whose requests wait asks each issuer.
	claimTime = 400 * time.Millisecond
	// claimInterval is the least time between two divisions of issued tokens.
	claimInterval = 5 * time.Millisecond
	// demandNoise is by how much the demands must exceed what is issued before tokens are
	// kept, in standard deviations of a demand that is measured over a second. Otherwise
	// chance would make thin accounts appear short.
	demandNoise = 2
	// maxClaims is the greatest number of claimants of one account at one VM.
	maxClaims = 256
	// maxPriorities is the greatest number of priorities that a claimant may state.
	maxPriorities = 8
	// maxPerSecond is the highest rate that a demand may state.
	maxPerSecond = 1e6
)

// Valid reports whether a demand that another VM states can be used.
func (d Demand) Valid() bool { return d.PerSecond > 0 && d.PerSecond <= maxPerSecond } // false for NaN

// Claims divides the tokens that one VM issues for one account between the VMs that
// are short of them. Each of them states its demand; of each token issued here it gets
// the part that Divide gives it of all issued tokens. Claims creates no tokens: it only
// says which of those in a Bucket are kept for whom. The zero value has no claims.
type Claims struct {
	list []claim // by VM
	at   clock.Time
	// scarce means that the demands exceed what all VMs issue.
	scarce bool
}

// claim is the demand of one VM, and the tokens that are kept for it.
type claim struct {
	vm       fleet.VMID
	demands  []Demand
	statedAt clock.Time
	kept     float64
}

func (c *Claims) find(vm fleet.VMID) (int, bool) {
	return slices.BinarySearchFunc(c.list, vm, func(x claim, vm fleet.VMID) int { return cmp.Compare(x.vm, vm) })
}

// State records the demand of a VM for each priority, in place of an earlier one.
// Invalid demands are ignored, and those beyond maxPriorities or of more VMs than
// maxClaims.
func (c *Claims) State(now clock.Time, vm fleet.VMID, demands []Demand) {
	var valid []Demand
	for _, d := range demands {
		if d.Valid() && len(valid) < maxPriorities {
			valid = append(valid, d)
		}
	}
	c.expire(now)
	at, found := c.find(vm)
	switch {
	case len(valid) == 0 || (!found && len(c.list) >= maxClaims):
		return
	case !found:
		c.list = slices.Insert(c.list, at, claim{vm: vm})
	}
	c.list[at].demands, c.list[at].statedAt = valid, now
}

// expire drops the claims that were not stated again in time. What was kept for them is
// free again.
func (c *Claims) expire(now clock.Time) {
	c.list = slices.DeleteFunc(c.list, func(x claim) bool { return now.Sub(x.statedAt) > ClaimTTL })
}

// Due reports whether Advance would do anything.
func (c *Claims) Due(now clock.Time) bool { return now.Sub(c.at) >= claimInterval }

// Advance keeps the parts of the tokens that were issued since the last call. own is the
// demand of this VM, and issuers the number of VMs that issue tokens at the same rate.
func (c *Claims) Advance(now clock.Time, b *Bucket, own []Demand, issuers int) {
	if !c.Due(now) {
		return
	}
	c.expire(now)
	passed := now.Sub(c.at)
	c.at = now
	demands := slices.Clone(own)
	for i := range c.list {
		demands = append(demands, c.list[i].demands...)
	}
	sum := 0.0
	for _, d := range demands {
		sum += d.PerSecond
	}
	supply := b.Rate() * float64(issuers)
	if c.scarce = supply > 0 && sum > supply+demandNoise*math.Sqrt(supply); !c.scarce {
		for i := range c.list {
			c.list[i].kept = 0
		}
		return
	}
	parts := Divide(supply, demands)[len(own):]
	seconds := min(passed, claimTime).Seconds()
	sum = 0
	for i := range c.list {
		x := &c.list[i]
		rate := 0.0
		for _, part := range parts[:len(x.demands)] {
			rate += part / float64(max(issuers, 1))
		}
		parts = parts[len(x.demands):]
		x.kept = min(x.kept+rate*seconds, rate*claimTime.Seconds())
		sum += x.kept
	}
	if has := b.Tokens(now); sum > has {
		for i := range c.list {
			c.list[i].kept *= max(has, 0) / sum
		}
	}
}

// Kept returns the number of tokens that are kept for other VMs.
func (c *Claims) Kept() float64 {
	sum := 0.0
	for i := range c.list {
		sum += c.list[i].kept
	}
	return sum
}

// Scarce reports whether the demands exceeded what all VMs issue when Advance was last
// called. Otherwise nothing is kept for other VMs.
func (c *Claims) Scarce() bool { return c.scarce }

// Take takes up to n tokens for a VM: those that are kept for it, and those that are
// kept for nobody but for spare ones, which this VM wants to keep itself.
func (c *Claims) Take(now clock.Time, b *Bucket, vm fleet.VMID, n, spare float64) float64 {
	own := 0.0
	at, found := c.find(vm)
	if found {
		own = c.list[at].kept
	}
	others := c.Kept() - own
	free := max(b.Tokens(now)-others-own-spare, 0)
	given := b.TakeUpTo(now, min(n, own+free), 0)
	if found {
		c.list[at].kept = max(own-given, 0)
	}
	return given
}
