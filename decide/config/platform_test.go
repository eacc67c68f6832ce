package config

import (
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
)

// platformStore is the platform's document. lineage lists all accepted revisions.
type platformStore struct {
	index   uint64
	cat     *catalogue.Catalogue
	lineage []Version
}

func (n *network) fetch(v *testDaemon, seq uint64) {
	n.platformCalls++
	if !n.reachesPlatform(v) {
		n.deliver(v, &PlatformRead{Seq: seq}, time.Second)
		return
	}
	n.deliver(v, n.document(seq, n.now), 2*(n.delay()+n.crossDomainDelay))
}

func (n *network) document(seq uint64, asked clock.Time) *PlatformRead {
	ev := &PlatformRead{Seq: seq, Index: n.platform.index, ConfirmedAt: asked, Result: ReadNotFound}
	if n.platform.cat != nil {
		ev.Result = ReadDocument
		ev.Catalogue = n.platform.cat
		ev.Lineage = n.platform.lineage
	}
	return ev
}

func (n *network) watch(v *testDaemon, w WatchPlatform) {
	if !n.reachesPlatform(v) || w.After != n.platform.index {
		n.fetch(v, w.Seq)
		return
	}
	n.platformCalls++
	v.watch = &w
	notModified := &PlatformRead{Seq: w.Seq, Result: ReadNotModified, ConfirmedAt: n.now.Add(w.Wait)}
	n.deliver(v, notModified, w.Wait+n.delay())
}

// storeDocument stores a new document on the platform and answers the watches.
func (n *network) storeDocument(c *catalogue.Catalogue) {
	h, err := Hash(c)
	if err != nil {
		n.recordViolation("platform: %v", err)
	}
	n.platform.index++
	n.platform.cat = c
	n.platform.lineage = append(slices.Clone(n.platform.lineage), Version{Revision: c.Revision, Hash: h})
	for _, v := range n.daemons {
		if v.watch == nil || v.st == nil {
			continue
		}
		seq := v.watch.Seq
		v.watch = nil
		if n.reachesPlatform(v) {
			n.deliver(v, n.document(seq, n.now), n.delay()+n.crossDomainDelay)
		}
	}
}

// write makes a change through v in the same way as store.Writer, and reports
// whether it was accepted. If loseAnswer is set, v does not get the answer.
func (n *network) write(v *testDaemon, id string, loseAnswer bool) bool {
	base, ok := v.st.Base(n.now)
	if !ok || !n.reachesPlatform(v) {
		return false
	}
	from := n.platform.cat
	if from == nil || (base.Catalogue != nil && base.Catalogue.Revision > from.Revision) {
		from = base.Catalogue
	}
	c := &catalogue.Catalogue{Services: from.Services}
	c.Revision = max(from.Revision+1, base.Floor+1, uint64(n.now)/uint64(time.Millisecond))
	c.Shifts = slices.DeleteFunc(slices.Clone(from.Shifts), func(s catalogue.Shift) bool { return s.ID == id })
	// Removes an existing entry if the revision is divisible by 3, so that
	// removals are tested too.
	if c.Revision%3 != 0 || len(c.Shifts) == len(from.Shifts) {
		c.Shifts = append(c.Shifts, catalogue.Shift{ID: id, Revision: c.Revision, Owner: "statikos"})
	}
	n.storeDocument(c)
	if !loseAnswer {
		n.deliver(v, &Accepted{Catalogue: c, ConfirmedAt: n.now}, n.delay())
	}
	return true
}

// restore writes c to the platform in the same way as store.Writer.Restore.
func (n *network) restore(v *testDaemon, c *catalogue.Catalogue) {
	n.platformCalls++
	if !n.reachesPlatform(v) || (n.platform.cat != nil && n.platform.cat.Revision >= c.Revision) {
		return
	}
	v.restored++
	n.storeDocument(c)
}

// rollBack restores the platform's older data, including its index.
func (n *network) rollBack(old platformStore) {
	n.platform = old
	n.platform.lineage = slices.Clone(old.lineage)
}
