package config

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
)

// store is the platform's document. Each value ever accepted stays in history.
type store struct {
	index   uint64
	cat     *catalogue.Catalogue
	lineage []Point
}

func (n *network) fetch(v *node, seq uint64) {
	n.calls++
	if !n.reaches(v) {
		n.deliver(v, &PlatformRead{Seq: seq}, time.Second)
		return
	}
	n.deliver(v, n.document(seq, n.now), 2*(n.delay()+n.farDelay))
}

func (n *network) document(seq uint64, asked clock.Time) *PlatformRead {
	ev := &PlatformRead{Seq: seq, Index: n.store.index, Confirmed: asked, Result: ReadNotFound}
	if n.store.cat != nil {
		ev.Result = ReadDocument
		ev.Catalogue = n.store.cat
		ev.Lineage = n.store.lineage
	}
	return ev
}

func (n *network) watch(v *node, w WatchPlatform) {
	if !n.reaches(v) || w.After != n.store.index {
		n.fetch(v, w.Seq)
		return
	}
	n.calls++
	v.watch = &w
	quiet := &PlatformRead{Seq: w.Seq, Result: ReadNotModified, Confirmed: n.now.Add(w.Wait)}
	n.deliver(v, quiet, w.Wait+n.delay())
}

// set puts a new document into the store and answers the watches on it.
func (n *network) set(c *catalogue.Catalogue) {
	h, err := Hash(c)
	if err != nil {
		n.violate("platform: %v", err)
	}
	n.store.index++
	n.store.cat = c
	n.store.lineage = append(slices.Clone(n.store.lineage), Point{Revision: c.Revision, Hash: h})
	for _, v := range n.nodes {
		if v.watch == nil || v.st == nil {
			continue
		}
		seq := v.watch.Seq
		v.watch = nil
		if n.reaches(v) {
			n.deliver(v, n.document(seq, n.now), n.delay()+n.farDelay)
		}
	}
}

// write makes a change through v as store.Writer does, and reports whether it
// was accepted. The answer may be lost.
func (n *network) write(v *node, id string, loseAnswer bool) bool {
	base, ok := v.st.Base(n.now)
	if !ok || !n.reaches(v) {
		return false
	}
	from := n.store.cat
	if from == nil || (base.Catalogue != nil && base.Catalogue.Revision > from.Revision) {
		from = base.Catalogue
	}
	c := &catalogue.Catalogue{Services: from.Services}
	c.Revision = max(from.Revision+1, base.Floor+1, uint64(n.now)/uint64(time.Millisecond))
	c.Shifts = slices.DeleteFunc(slices.Clone(from.Shifts), func(s catalogue.Shift) bool { return s.ID == id })
	// Each third change of an entry removes it, so that removals spread too.
	if c.Revision%3 != 0 || len(c.Shifts) == len(from.Shifts) {
		c.Shifts = append(c.Shifts, catalogue.Shift{ID: id, Revision: c.Revision, Owner: "statikos"})
	}
	n.set(c)
	if !loseAnswer {
		n.deliver(v, &Accepted{Catalogue: c, Confirmed: n.now}, n.delay())
	}
	return true
}

// restore does what store.Writer.Restore does.
func (n *network) restore(v *node, c *catalogue.Catalogue) {
	n.calls++
	if !n.reaches(v) || (n.store.cat != nil && n.store.cat.Revision >= c.Revision) {
		return
	}
	v.restored++
	n.set(c)
}

// rollBack puts the store back to older data, with its index.
func (n *network) rollBack(old store) {
	n.store = old
	n.store.lineage = slices.Clone(old.lineage)
}
