package enginetest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
)

// The services of random Worlds: an idempotent one, one that requires a token,
// and one for which the token is optional.
const (
	serviceLook = fleet.ServiceName("look")
	serviceFile = fleet.ServiceName("file")
	servicePost = fleet.ServiceName("post")
)

// NewRandom returns a World with 3 to 6 entry VMs, drawn with a seed. Its load
// is between 0.3 and 1.1 times the capacity of the targets.
func NewRandom(seed uint64) *World {
	rng := rand.New(rand.NewPCG(seed, 0x72616e646f6d))
	vms := randomVMs(rng)
	w := New(Options{
		Seed:     seed,
		VMs:      vms,
		Services: randomServices(),
		Targets:  randomTargets(rng, vms),
	})
	for _, v := range w.VMs {
		v.Skew = time.Duration(rng.IntN(4000)-2000) * time.Millisecond
	}
	w.addRandomCallers(rng)
	return w
}

func randomVMs(rng *rand.Rand) []Location {
	n := 3 + rng.IntN(4)
	domains := min(2+rng.IntN(3), n)
	regions := min(1+rng.IntN(3), domains)
	var out []Location
	for i := range n {
		d := i % domains
		r := d % regions
		out = append(out, Location{
			Region: fleet.Region(fmt.Sprintf("r%d", r)),
			Domain: fleet.Domain(fmt.Sprintf("r%d-d%d", r, d)),
		})
	}
	return out
}

func randomServices() []catalogue.Service {
	return []catalogue.Service{
		{Name: serviceLook, Idempotent: true, Priority: catalogue.Interactive},
		{Name: serviceFile, Priority: catalogue.Deferrable},
		{Name: servicePost, Priority: catalogue.Deferrable, TokenOptional: true},
	}
}

// randomTargets gives each failure domain one to three targets of each service,
// and no targets of a service with probability 1/12.
func randomTargets(rng *rand.Rand, vms []Location) []TargetOptions {
	var out []TargetOptions
	seen := make(map[fleet.Domain]bool)
	for _, p := range vms {
		if seen[p.Domain] {
			continue
		}
		seen[p.Domain] = true
		for _, s := range randomServices() {
			n := 1 + rng.IntN(3)
			if rng.IntN(12) == 0 {
				n = 0
			}
			for i := range n {
				out = append(out, TargetOptions{
					ID:       fleet.TargetID(fmt.Sprintf("%s-%s%d", p.Domain, s.Name, i)),
					Service:  s.Name,
					Location: p,
					Slots:    1 + rng.IntN(4),
					Queue:    2,
					Work:     time.Duration(20+rng.IntN(100)) * time.Millisecond,
				})
			}
		}
	}
	return out
}

// callersPerRegion is the number of callers whose home is a given region.
const callersPerRegion = 6

func (w *World) addRandomCallers(rng *rand.Rand) {
	load := 0.3 + 0.8*rng.Float64()
	for r := range w.homes {
		for range callersPerRegion {
			c := w.AddCaller(r, rng.IntN(blocksPerRegion))
			c.CancelProbability = rng.Float64() / 2
			c.AsksOutcome = rng.IntN(2) == 0
			c.ResendAfter = time.Duration(200+rng.IntN(1500)) * time.Millisecond
			c.Deadline = time.Duration(1000+rng.IntN(7000)) * time.Millisecond
		}
	}
	for _, s := range randomServices() {
		rate := load * w.serviceCapacity(s.Name) / float64(len(w.Callers))
		if rate == 0 {
			continue
		}
		for _, c := range w.Callers {
			c.GenerateLoad(s, rate)
		}
	}
}

// serviceCapacity returns how many requests of a service all targets together
// can execute per second.
func (w *World) serviceCapacity(s fleet.ServiceName) float64 {
	r := 0.0
	for _, t := range w.Targets {
		if t.Service == s {
			r += float64(t.Slots) / t.Work.Seconds()
		}
	}
	return r
}

// GenerateLoad starts work repeatedly at random times, at a rate in 1/s.
func (c *Caller) GenerateLoad(s catalogue.Service, rate float64) {
	wait := time.Duration(c.w.rng.ExpFloat64() / rate * float64(time.Second))
	c.w.After(wait, func() {
		if !c.Stopped {
			c.StartWork(s.Name, s.Idempotent)
		}
		c.GenerateLoad(s, rate)
	})
}

// Bounds on the time between faults and on their duration.
const (
	minFaultGap = 200 * time.Millisecond
	maxFaultGap = 3 * time.Second
	maxOutage   = 12 * time.Second
)

// InjectFaults runs for d and injects random faults.
func (w *World) InjectFaults(d time.Duration) {
	end := w.Now.Add(d)
	for w.Now < end {
		w.injectFault()
		w.Run(w.between(minFaultGap, maxFaultGap))
	}
}

// injectFault injects one random fault or operator request.
func (w *World) injectFault() {
	w.Checker.Counts.Faults++
	v := w.VMs[w.IntN(len(w.VMs))]
	switch w.IntN(16) {
	case 0:
		v.Crash()
		w.After(w.between(100*time.Millisecond, maxOutage), v.restart)
	case 1:
		v.Pause(w.between(50*time.Millisecond, maxOutage))
	case 2:
		v.Leave()
		w.After(maxOutage, v.restart)
	case 3, 4:
		w.injectTargetFault()
	case 5, 6:
		w.injectTargetFault()
	case 7:
		w.injectPartition()
	case 8:
		w.Network.LossProbability = 0.3 * w.rng.Float64()
		w.Network.Reorder = w.Chance(0.5)
		w.Network.ExtraDelay = w.between(0, 80*time.Millisecond)
	case 9:
		w.Network.FaultProbability = 0.1 * w.rng.Float64()
	case 10:
		w.injectPlatformFault()
	case 11, 12, 13, 14:
		w.injectOperation()
	case 15:
		w.Network.Heal()
		w.Platform.Heal()
	}
}

// restart starts a new process if none is running.
func (v *VM) restart() {
	if !v.Up {
		v.Start()
	}
}

func (w *World) injectTargetFault() {
	t := w.Targets[w.IntN(len(w.Targets))]
	back := w.between(100*time.Millisecond, maxOutage)
	switch w.IntN(6) {
	case 0:
		t.Crash()
	case 1:
		t.Leave(true)
	case 2:
		t.Leave(false)
	case 3:
		t.Failing, t.FalseHealth = true, w.Chance(0.5)
	case 4:
		t.SlowFactor = 2 + w.IntN(30)
	case 5:
		t.Stuck = true
	}
	w.After(back, t.Restart)
}

// injectPartition cuts the connections between two failure domains, in one or
// both directions, or between one domain and the platform.
func (w *World) injectPartition() {
	a := w.VMs[w.IntN(len(w.VMs))].Location.Domain
	b := w.VMs[w.IntN(len(w.VMs))].Location.Domain
	switch {
	case a == b:
		w.Platform.Cut(a)
	case w.Chance(0.3):
		w.Network.Cut(a, b)
	default:
		w.Network.Partition(a, b)
	}
}

func (w *World) injectPlatformFault() {
	p := w.Platform
	switch w.IntN(4) {
	case 0:
		p.Down = true
		w.After(w.between(time.Second, 2*maxOutage), func() { p.Down = false })
	case 1:
		p.ExtraDelay = w.between(0, 2*time.Second)
	case 2:
		p.LostAnswerProbability = w.rng.Float64() / 2
	case 3:
		p.RestoreOlder(1 + w.IntN(4))
	}
}

// injectOperation lets an operator change the catalogue, and with probability
// 0.3 a second one make the same change at the same time.
func (w *World) injectOperation() {
	op := w.randomOperation()
	w.Operate(w.anyLiveVM(w.VMs[0]), op)
	if w.Chance(0.3) {
		op.Operator = operators[w.IntN(len(operators))]
		w.Operate(w.anyLiveVM(w.VMs[0]), op)
	}
}

var operators = []string{"ana", "ben", "eva"}

// randomOperation returns an operation that usually fits the state of the
// catalogue in force at some entry VM.
func (w *World) randomOperation() change.Operation {
	op := change.Operation{Operator: operators[w.IntN(len(operators))]}
	v := w.anyLiveVM(w.VMs[0])
	if v.catalogue == nil || len(v.catalogue.Shifts) == 0 || w.Chance(0.2) {
		op.Kind = change.KindAddShift
		op.AddShift = &change.AddShift{Entry: w.randomEntry("")}
		return op
	}
	s := v.catalogue.Shifts[w.IntN(len(v.catalogue.Shifts))]
	op.Shift = &change.ShiftRef{ID: s.ID, Expect: s.Revision}
	switch s.State {
	case catalogue.Draft:
		op.Kind = change.KindApprove
		if w.Chance(0.3) {
			op.Kind, op.Shift = change.KindChangeShift, nil
			op.ChangeShift = &change.ChangeShift{Entry: w.randomEntry(s.ID), Expect: s.Revision}
		}
	case catalogue.Approved:
		op.Kind = change.KindStart
	case catalogue.Running:
		op.Kind = change.KindPause
		if w.Chance(0.4) {
			op.Kind = change.KindRollBack
		}
	case catalogue.Paused:
		op.Kind = change.KindResume
	default:
		op.Kind = change.KindRollBack
	}
	return op
}

// randomEntry returns a shift out of one region. If there are several regions,
// it usually names the receiving region.
func (w *World) randomEntry(id string) change.Entry {
	if id == "" {
		w.lastNumber++
		id = fmt.Sprintf("s%d", w.lastNumber)
	}
	from := w.IntN(len(w.homes))
	e := change.Entry{
		ID:    id,
		Owner: "team",
		Class: catalogue.Emergency,
		From:  w.homes[from],
		Limits: catalogue.Limits{
			MaxShare:      catalogue.Share(500 + w.IntN(9500)),
			Step:          catalogue.Share(500 + w.IntN(4000)),
			Interval:      catalogue.Duration(w.between(time.Second, 5*time.Second)),
			MinHeadroom:   catalogue.Share(1 + w.IntN(3000)),
			MaxErrorShare: catalogue.Share(1000 + w.IntN(5000)),
		},
	}
	if w.Chance(0.5) {
		e.Service = serviceLook
	}
	if len(w.homes) > 1 && w.Chance(0.7) {
		e.To = w.homes[(from+1)%len(w.homes)]
	}
	return e
}

// Recover ends all faults, restarts all targets and the entry VMs that are down,
// and runs for d under load. It then stops the load and waits until all work
// has ended.
func (w *World) Recover(d time.Duration) {
	w.Network.Heal()
	w.Platform.Heal()
	for _, v := range w.VMs {
		v.restart()
	}
	for _, t := range w.Targets {
		t.Restart()
	}
	w.Run(d)
	for _, c := range w.Callers {
		c.Stopped = true
	}
	w.Run(drainTime)
	w.Checker.checkOpen()
}

// drainTime is longer than the deadline of any work.
const drainTime = 15 * time.Second
