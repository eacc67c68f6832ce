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

// document is the value stored at the platform. Documents are immutable.
type document struct {
	index      uint64
	catalogue  *catalogue.Catalogue
	lineage    []config.Version
	operations map[string]uint64 // revision by operation ID
	write      *write            // that created the document; nil for a restore
}

// successor returns the next document, with catalogue c and the operation op.
func (d *document) successor(c *catalogue.Catalogue, op string) document {
	h, err := config.Hash(c)
	if err != nil {
		panic(err) // change.Apply returns only catalogues that can be hashed
	}
	n := document{
		index:      d.index + 1,
		catalogue:  c,
		lineage:    append(slices.Clone(d.lineage), config.Version{Revision: c.Revision, Hash: h}),
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

// lease is the lease of the shift runner as the platform holds it.
type lease struct {
	holder        *VM
	processNumber int
	until         clock.Time // by the World's clock
}

// watch is a read that waits until the document changes.
type watch struct{ seq uint64 }

// Platform is a fake of the platform's key-value service and machine list.
type Platform struct {
	// Down makes every call fail.
	Down bool
	// ExtraDelay is added to every call.
	ExtraDelay time.Duration
	// LostAnswerProbability is the share of writes whose answer is lost. Such a
	// write takes effect immediately, later or never.
	LostAnswerProbability float64
	// ListLag is the mean delay with which changes show in the machine list.
	ListLag time.Duration

	w           *World
	doc         document
	previous    []document // earlier documents, oldest first
	cuts        map[fleet.Domain]bool
	shiftLease  lease
	listVersion uint64      // newest version of the machine list
	shownLists  []shownList // the current one and those that become visible later
}

// Delays of the platform, and the number of earlier documents that it keeps.
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

// Cut disconnects a failure domain from the platform.
func (p *Platform) Cut(d fleet.Domain) { p.cuts[d] = true }

// Heal ends all faults.
func (p *Platform) Heal() {
	p.Down, p.ExtraDelay, p.LostAnswerProbability, p.ListLag = false, 0, 0, listLag
	clear(p.cuts)
}

// Catalogue returns the catalogue that the platform holds.
func (p *Platform) Catalogue() *catalogue.Catalogue { return p.doc.catalogue }

// RestoreOlder restores the document of n changes ago, as if the platform had
// lost its newest data.
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

// delay returns the one-way delay of a message to or from the platform.
func (p *Platform) delay() time.Duration {
	return delayPlatform + p.ExtraDelay + p.w.between(0, delayPlatform)
}

// call runs f at the platform and then the function that f returns at the VM. If
// there is no answer, it calls lost at the VM instead.
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

// compareAndSwap stores document d if the current one has the given index. It
// calls done with whether it was stored, or lost if the outcome is unknown.
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

// storeIfUnchanged stores d if the current document has the given index.
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

// endWatches answers all reads that wait for a change.
func (p *Platform) endWatches() {
	for _, v := range p.w.VMs {
		if w := v.watch; w != nil && v.Up {
			v.watch = nil
			v.postAfter(p.delay(), p.readResult(v, w.seq, v.now()))
		}
	}
}

// readResult returns the event for a read of the current document.
func (p *Platform) readResult(v *VM, seq uint64, requestedAt clock.Time) *config.PlatformRead {
	if !p.reachableFrom(v) {
		return &config.PlatformRead{Seq: seq}
	}
	return &config.PlatformRead{
		Seq:         seq,
		Result:      config.ReadDocument,
		Catalogue:   p.doc.catalogue,
		Lineage:     p.doc.lineage,
		Index:       p.doc.index,
		ConfirmedAt: requestedAt,
	}
}

// executeReads executes the reads and restores that a step requests.
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
	requestedAt := v.now()
	p.call(v, func() func() {
		ev := p.readResult(v, seq, requestedAt)
		return func() { v.step(ev) }
	}, func() { v.step(&config.PlatformRead{Seq: seq}) })
}

func (p *Platform) startWatch(v *VM, w config.WatchPlatform) {
	if !p.reachableFrom(v) || w.After != p.doc.index {
		p.fetch(v, w.Seq)
		return
	}
	current := &watch{seq: w.Seq}
	v.watch = current
	result := &config.PlatformRead{Seq: w.Seq, Result: config.ReadNotModified, ConfirmedAt: v.now().Add(w.Wait)}
	v.after(w.Wait+p.delay(), func() {
		if v.watch == current {
			v.watch = nil
			if !p.reachableFrom(v) {
				result = &config.PlatformRead{Seq: w.Seq}
			}
			v.step(result)
		}
	})
}

// shownList is a version of the machine list and the time at which it becomes
// visible.
type shownList struct {
	at   clock.Time
	list fleet.List
}

// updateList creates a new version of the machine list, which becomes visible
// after a delay around ListLag.
func (p *Platform) updateList() {
	p.listVersion++
	at := p.w.Now.Add(p.ListLag/2 + p.w.between(0, p.ListLag))
	if n := len(p.shownLists); n > 0 {
		at = max(at, p.shownLists[n-1].at)
	}
	p.shownLists = append(p.shownLists, shownList{at: at, list: p.currentList()})
}

// shown returns the machine list that is visible now.
func (p *Platform) shown() fleet.List {
	for len(p.shownLists) > 1 && p.shownLists[1].at <= p.w.Now {
		p.shownLists = p.shownLists[1:]
	}
	return p.shownLists[0].list
}

// Interval at which entry VMs read the machine list.
const (
	minListPoll = 100 * time.Millisecond
	maxListPoll = 400 * time.Millisecond
)

// watchList delivers the machine list to an entry VM at intervals while its
// engine requests it.
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
		v.step(&machine.ListUnchanged{})
		return
	}
	v.listVersion = l.Version
	v.postAfter(p.delay(), &engine.MachineListRead{List: l})
}

// currentList returns the machine list for the current state. The platform lists
// machines, not processes, so its entries have no incarnations.
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
