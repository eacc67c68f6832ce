package enginetest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// FleetKey is the key with which all entry VMs mint tokens.
var FleetKey = []byte("enginetest fleet key")

// epoch is the start time of every World.
var epoch = clock.FromWall(time.Date(2026, 3, 2, 22, 0, 0, 0, time.UTC))

// Location is a failure domain and its region.
type Location struct {
	Region fleet.Region
	Domain fleet.Domain
}

// Options configure a World.
type Options struct {
	Seed     uint64
	VMs      []Location // one entry VM in each
	Targets  []TargetOptions
	Services []catalogue.Service
	// Trace, if set, receives one line for each traced event, effect or action.
	Trace func(at time.Duration, line string)
}

// World is a deployment with its callers and operators.
type World struct {
	Now      clock.Time
	Options  Options
	VMs      []*VM
	Targets  []*Target
	Platform *Platform
	Network  Network
	Callers  []*Caller
	Checker  Checker

	rng        *rand.Rand
	queue      queue
	lastOrder  uint64
	blocks     *block.Table
	homes      []fleet.Region // regions by the second byte of a client's address
	vmByID     map[fleet.VMID]*VM
	targetByID map[fleet.TargetID]*Target
	lastNumber int
}

// worldStream is the stream of the World's random numbers, so that they are
// independent of others drawn with the same seed.
const worldStream = 0x776f726c64

// New returns a World in which the entry VMs have just started and the platform
// holds the services at revision 1.
func New(o Options) *World {
	w := &World{
		Now:        epoch,
		Options:    o,
		rng:        rand.New(rand.NewPCG(o.Seed, worldStream)),
		vmByID:     make(map[fleet.VMID]*VM),
		targetByID: make(map[fleet.TargetID]*Target),
	}
	w.Network = newNetwork()
	w.Checker = newChecker(w)
	w.buildBlocks()
	for _, t := range o.Targets {
		w.addTarget(t)
	}
	counts := make(map[fleet.Domain]int)
	for _, p := range o.VMs {
		w.addVM(p, counts[p.Domain])
		counts[p.Domain]++
	}
	w.Platform = newPlatform(w, o.Services)
	for _, v := range w.VMs {
		v.Start()
	}
	w.every(sampleInterval, w.Checker.sampleAgreement)
	return w
}

// blocksPerRegion is the number of client blocks whose home is a given region.
const blocksPerRegion = 64

// buildBlocks builds the table of client blocks: 10.R.B.0/24 is block B of
// region R.
func (w *World) buildBlocks() {
	topology := block.Topology{}
	var regions []fleet.Region
	for _, p := range w.Options.VMs {
		if _, known := topology[p.Region]; !known {
			regions = append(regions, p.Region)
		}
		topology[p.Region] = append(topology[p.Region], p.Domain)
	}
	w.homes = regions
	b := block.NewBuilder(topology)
	for r, region := range regions {
		for i := range blocksPerRegion {
			if err := b.Add(netip.PrefixFrom(clientAddr(r, i), 24), block.Home{Region: region}); err != nil {
				panic(err)
			}
		}
	}
	t, err := b.Build()
	if err != nil {
		panic(err)
	}
	w.blocks = t
}

func clientAddr(region, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(region), byte(i), 0})
}

// VM returns the entry VM with the given ID.
func (w *World) VM(id fleet.VMID) *VM { return w.vmByID[id] }

// Target returns the target with the given ID.
func (w *World) Target(id fleet.TargetID) *Target { return w.targetByID[id] }

// Chance returns true with probability p.
func (w *World) Chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// IntN returns a random number below n.
func (w *World) IntN(n int) int { return w.rng.IntN(n) }

// between returns a random duration from a to b.
func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

// After calls f after d.
func (w *World) After(d time.Duration, f func()) { w.schedule(w.Now.Add(d), f) }

func (w *World) schedule(t clock.Time, f func()) {
	w.lastOrder++
	heap.Push(&w.queue, scheduledCall{at: max(t, w.Now), order: w.lastOrder, f: f})
}

// every calls f repeatedly, at intervals of d.
func (w *World) every(d time.Duration, f func()) {
	w.After(d, func() {
		f()
		w.every(d, f)
	})
}

// Run advances the clock by d and makes all calls that become due.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(scheduledCall)
		w.Now = e.at
		e.f()
	}
	w.Now = end
}

// trace passes one line to Options.Trace.
func (w *World) trace(format string, args ...any) {
	if w.Options.Trace != nil {
		w.Options.Trace(w.Now.Sub(epoch), fmt.Sprintf(format, args...))
	}
}

// scheduledCall is a function to be called at a given time.
type scheduledCall struct {
	at    clock.Time
	order uint64
	f     func()
}

type queue []scheduledCall

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = scheduledCall{}
	*q = old[:len(old)-1]
	return x
}
