package enginetest

import (
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/machine"
)

// document is the value that the platform holds. A document is never changed.
type document struct {
	index      uint64
	catalogue  *catalogue.Catalogue
	lineage    []config.Point
	operations map[string]uint64 // revision by operation id
	write      *write            // that made it; nil for a restore
}

// successor returns the document that follows with catalogue c by an operation.
func (d *document) successor(c *catalogue.Catalogue, op string) document {
	h, err := config.Hash(c)
	if err != nil {
		panic(err) // change.Apply makes no such catalogue
	}
	n := document{
		index:      d.index + 1,
		catalogue:  c,
		lineage:    append(slices.Clone(d.lineage), config.Point{Revision: c.Revision, Hash: h}),
		operations: maps.Clone(d.operations),
	}
	if n.operations == nil {
		n.operations = make(map[string]uint64)
	}
	if op != "" {
		n.operations[op] = c.Revision
	}
	return n
}

// lease is the hold of the duty to run the shifts.
type lease struct {
	holder        *VM
	processNumber int
	until         clock.Time // of the World's clock
}

// watch is a read that waits for a change.
type watch struct{ seq uint64 }

// Platform is the key-value service and the machine list.
type Platform struct {
	// Down fails every call.
	Down bool
	// ExtraDelay is added to every call.
	ExtraDelay time.Duration
	// LostAnswerProbability is the part of the writes whose answer is lost; such a write
	// takes effect at once, later or never.
	LostAnswerProbability float64
	// ListLag is how old the machine list is.
	ListLag time.Duration

	w           *World
	doc         document
	previous    []document // earlier ones
	cuts        map[fleet.Domain]bool
	shiftLease  lease
	listVersion uint64      // newest version of the machine list
	shownLists  []shownList // the one shown and those that follow
}

// The times of the platform.
const (
	listLag         = time.Second
	failedReadDelay = time.Second
	maxWriteDelay   = 3 * time.Second
	maxDocuments    = 64
)

func newPlatform(w *World, services []catalogue.Service) *Platform {
	p := &Platform{w: w, cuts: make(map[fleet.Domain]bool), ListLag: listLag}
	c := &catalogue.Catalogue{Revision: 1, Services: slices.Clone(services)}
	for i := range c.Services {
		c.Services[i].Revision = 1
	}
	p.doc = (&document{}).successor(c, "")
	p.updateList()
	return p
}

// Cut keeps a failure domain from the platform.
func (p *Platform) Cut(d fleet.Domain) { p.cuts[d] = true }

// Heal ends all faults.
func (p *Platform) Heal() {
	p.Down, p.ExtraDelay, p.LostAnswerProbability, p.ListLag = false, 0, 0, listLag
	clear(p.cuts)
}

// Catalogue returns what the platform holds.
func (p *Platform) Catalogue() *catalogue.Catalogue { return p.doc.catalogue }

// RestoreOlder brings back a document of n changes ago, as a platform does
// that lost its newest data.
func (p *Platform) RestoreOlder(n int) {
	if n <= 0 || n > len(p.previous) {
		return
	}
	p.doc = p.previous[len(p.previous)-n]
	p.previous = p.previous[:len(p.previous)-n]
	p.w.trace("platform comes back with revision %d", p.doc.catalogue.Revision)
	p.w.Checker.recordRestore()
	p.endWatches()
}

func (p *Platform) reachableFrom(v *VM) bool { return !p.Down && !p.cuts[v.Location.Domain] }

// delay is the time of a message to or from the platform.
func (p *Platform) delay() time.Duration {
	return delayPlatform + p.ExtraDelay + p.w.between(0, delayPlatform)
}

// call carries f to the platform and what it returns back. Lost is called in
// place of it when there is no answer.
func (p *Platform) call(v *VM, f func() func(), lost func()) {
	if !p.reachableFrom(v) {
		v.after(p.w.between(10*time.Millisecond, failedReadDelay), lost)
		return
	}
	process := v.processNumber
	p.w.After(p.delay(), func() {
		done := f()
		if v.processNumber != process {
			return
		}
		if !p.reachableFrom(v) {
			v.after(failedReadDelay, lost)
			return
		}
		v.after(p.delay(), done)
	})
}

// get reads the document.
func (p *Platform) get(v *VM, done func(document), lost func()) {
	p.call(v, func() func() {
		d := p.doc
		return func() { done(d) }
	}, lost)
}

// compareAndSwap puts a document in the place of the one at index. Done is told whether
// it did, lost is called when nobody can tell.
func (p *Platform) compareAndSwap(v *VM, index uint64, d document, by string, done func(bool), lost func()) {
	if p.reachableFrom(v) && p.w.Chance(p.LostAnswerProbability) {
		switch p.w.IntN(3) {
		case 0:
		case 1:
			p.w.After(p.delay(), func() { p.storeIfUnchanged(index, d, by) })
		default:
			p.w.After(p.w.between(0, maxWriteDelay), func() { p.storeIfUnchanged(index, d, by) })
		}
		v.after(failedReadDelay, lost)
		return
	}
	p.call(v, func() func() {
		ok := p.storeIfUnchanged(index, d, by)
		return func() { done(ok) }
	}, lost)
}

func (p *Platform) storeIfUnchanged(index uint64, d document, by string) bool {
	if p.doc.index != index {
		return false
	}
	p.previous = append(p.previous, p.doc)
	p.previous = p.previous[max(0, len(p.previous)-maxDocuments):]
	p.doc = d
	p.w.trace("platform accepts revision %d (%s)", d.catalogue.Revision, by)
	if d.write != nil {
		p.w.Checker.checkWritten(d.write)
	}
	p.endWatches()
	return true
}

// endWatches ends all reads that wait for a change.
func (p *Platform) endWatches() {
	for _, v := range p.w.VMs {
		if w := v.watch; w != nil && v.Up {
			v.watch = nil
			v.postAfter(p.delay(), p.readResult(v, w.seq, v.now()))
		}
	}
}

// readResult is the event of a read of the document as it is now.
func (p *Platform) readResult(v *VM, seq uint64, asked clock.Time) *config.PlatformRead {
	if !p.reachableFrom(v) {
		return &config.PlatformRead{Seq: seq}
	}
	return &config.PlatformRead{
		Seq:       seq,
		Result:    config.ReadDocument,
		Catalogue: p.doc.catalogue,
		Lineage:   p.doc.lineage,
		Index:     p.doc.index,
		Confirmed: asked,
	}
}

// executeReads carries out the reads and restores that a step asks for.
func (p *Platform) executeReads(v *VM, r *engine.Ready) {
	for _, s := range r.Unwatch {
		if v.watch != nil && v.watch.seq == s.Seq {
			v.watch = nil
		}
	}
	for _, f := range r.Fetch {
		p.fetch(v, f.Seq)
	}
	for _, w := range r.Watch {
		p.startWatch(v, w)
	}
	for _, x := range r.Restore {
		p.restore(v, x.Catalogue)
	}
}

func (p *Platform) fetch(v *VM, seq uint64) {
	asked := v.now()
	p.call(v, func() func() {
		ev := p.readResult(v, seq, asked)
		return func() { v.step(ev) }
	}, func() { v.step(&config.PlatformRead{Seq: seq}) })
}

func (p *Platform) startWatch(v *VM, w config.WatchPlatform) {
	if !p.reachableFrom(v) || w.After != p.doc.index {
		p.fetch(v, w.Seq)
		return
	}
	mine := &watch{seq: w.Seq}
	v.watch = mine
	quiet := &config.PlatformRead{Seq: w.Seq, Result: config.ReadNotModified, Confirmed: v.now().Add(w.Wait)}
	v.after(w.Wait+p.delay(), func() {
		if v.watch == mine {
			v.watch = nil
			if !p.reachableFrom(v) {
				quiet = &config.PlatformRead{Seq: w.Seq}
			}
			v.step(quiet)
		}
	})
}

// shownList is a version of the machine list, and since when it is shown.
type shownList struct {
	at   clock.Time
	list fleet.List
}

// updateList makes a new version of the machine list, shown after its lag.
func (p *Platform) updateList() {
	p.listVersion++
	at := p.w.Now.Add(p.ListLag/2 + p.w.between(0, p.ListLag))
	if n := len(p.shownLists); n > 0 {
		at = max(at, p.shownLists[n-1].at)
	}
	p.shownLists = append(p.shownLists, shownList{at: at, list: p.currentList()})
}

// shown returns the machine list as the platform shows it now.
func (p *Platform) shown() fleet.List {
	for len(p.shownLists) > 1 && p.shownLists[1].at <= p.w.Now {
		p.shownLists = p.shownLists[1:]
	}
	return p.shownLists[0].list
}

// The pace at which entry VMs read the machine list.
const (
	minListPoll = 100 * time.Millisecond
	maxListPoll = 400 * time.Millisecond
)

// watchList gives an entry VM the machine list while its engine asks for it.
func (p *Platform) watchList(v *VM) {
	v.after(p.w.between(minListPoll, maxListPoll), func() { p.watchList(v) })
	if !v.watchingList {
		v.listVersion = 0
		return
	}
	if !p.reachableFrom(v) {
		return
	}
	l := p.shown()
	if l.Version == v.listVersion {
		v.step(&machine.Unchanged{})
		return
	}
	v.listVersion = l.Version
	v.postAfter(p.delay(), &engine.MachineListRead{List: l})
}

// currentList returns the list as it is now. The platform knows machines, not
// processes, so it states no incarnations.
func (p *Platform) currentList() fleet.List {
	l := fleet.List{Version: p.listVersion}
	for _, v := range p.w.VMs {
		vm := v.Self
		vm.Incarnation = 0
		if v.Leaving {
			vm.State = fleet.Leaving
		}
		l.VMs = append(l.VMs, vm)
	}
	for _, t := range p.w.Targets {
		l.Targets = append(l.Targets, t.listEntry())
	}
	return l
}
