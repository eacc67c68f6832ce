package emulate

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quarantine"
)

// Deadly counts what one query of death has done.
type Deadly struct {
	Ends    int `json:"ends"`    // targets that ended under it
	Reached int `json:"reached"` // sends of it that reached targets
	// Late are those of them that came more than DeadlyGrace after the end of the
	// third target.
	Late int `json:"late"`
	// Lost are the requests of others that were lost with the targets.
	Lost int `json:"lost"`
	// Asked are the attempts of its caller.
	Asked int `json:"asked"`
}

const (
	// DeadlyGrace is how long after the third end the fleet may take to know a
	// query of death.
	DeadlyGrace = 4 * time.Second
	// DeadlyEnds is the number of ends after which it must know one.
	DeadlyEnds = 3
	// deadlyWork is how long a target runs a query of death before it ends.
	deadlyWork = 60 * time.Millisecond
	// deadlyDown is how long a target that has ended takes to start again.
	deadlyDown = 2500 * time.Millisecond
	// deadlyPause is the time between two callers' attempts where the event does
	// not say.
	deadlyPause = time.Second
)

// deadly is one query of death.
type deadly struct {
	event   *Event
	kind    *Kind
	domain  *Domain
	content quarantine.Fingerprint
	until   clock.Time
	third   clock.Time // when the third target ended; 0: not yet
	counts  *Deadly
}

// beginDeadly has callers begin to send a query of death, one after the other.
func (f *fleetRun) beginDeadly(e *Event) {
	k := slices.IndexFunc(f.p.Kinds, func(k Kind) bool { return e.Service == "" || k.Service == e.Service })
	d := slices.IndexFunc(f.p.Domains, func(d Domain) bool { return e.Domain == "" || d.Name == e.Domain })
	f.last++
	q := &deadly{
		event: e, kind: &f.p.Kinds[k], domain: &f.p.Domains[d], content: contentOf(f.last),
		until: f.now.Add(seconds(e.For)), counts: f.books.newDeadly(),
	}
	callers := max(e.Callers, 1)
	for i := range callers {
		f.after(q.pause()*time.Duration(i)/time.Duration(callers), func() { f.sendDeadly(q) })
	}
}

// pause is the time between the attempts of one caller.
func (d *deadly) pause() time.Duration { return cmp.Or(seconds(d.event.X), deadlyPause) }

// sendDeadly has the caller send its request, and come back as others do.
func (f *fleetRun) sendDeadly(d *deadly) {
	k := d.kind
	c := &caller{
		kind: k, domain: d.domain, began: f.now, due: f.now.Add(millis(k.PatienceMS)), retries: k.Retries,
		object: string(d.domain.Region) + "/deadly", content: d.content, deadly: d,
	}
	d.counts.Asked++
	f.attempt(c)
}

// deadlyAgain has the caller send the request anew after a pause.
func (f *fleetRun) deadlyAgain(d *deadly) {
	if f.now.Add(d.pause()).After(d.until) {
		return
	}
	f.after(d.pause(), func() { f.sendDeadly(d) })
}

// endUnder ends the start of t that runs the query of death r.
func (f *fleetRun) endUnder(t *target, r *run, start int64) {
	if t.reg.Born != start || t.down || r.over {
		return // ended before, or cancelled
	}
	d := r.send.q.deadly
	d.counts.Ends++
	if d.counts.Ends == DeadlyEnds {
		d.third = f.now
	}
	f.books.ending = d
	f.restartTarget(t, deadlyDown)
	f.books.ending = nil
}

// newDeadly begins the counts of a query of death.
func (b *books) newDeadly() *Deadly {
	d := new(Deadly)
	b.deadly = append(b.deadly, d)
	return d
}

// reachDeadly counts a query of death that has reached a target.
func (b *books) reachDeadly(now clock.Time, d *deadly) {
	d.counts.Reached++
	if d.third != 0 && now.After(d.third.Add(DeadlyGrace)) {
		d.counts.Late++
	}
}

// lost counts a request that is lost with the end of its target.
func (b *books) lost(q *try) {
	if b.ending != nil && q.deadly != b.ending {
		b.ending.counts.Lost++
	}
}

// content returns the content of a request of a kind.
func (f *fleetRun) content(k *Kind) quarantine.Fingerprint {
	if k.Contents > 0 {
		return quarantine.FingerprintOf(quarantine.Content{Host: k.Name, URI: string(binary.AppendUvarint(nil, uint64(f.rng.IntN(k.Contents))))})
	}
	f.last++
	return contentOf(f.last)
}

// contentOf returns the content of the request with a number of its own.
func contentOf(n uint64) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// keepQuarantine carries a change of a quarantine to the store, of which all
// entry VMs learn.
func (f *fleetRun) keepQuarantine(q *ingress.Quarantine) {
	fp := q.Record.Fingerprint
	switch {
	case q.Keep:
		rec := q.Record
		f.kept[fp] = &rec
	case q.Remove:
		delete(f.kept, fp)
	default:
		return
	}
	f.tellAll(func() ingress.Event { return &ingress.QuarantineRead{Fingerprint: fp, Record: f.kept[fp]} })
}

// sortedFingerprints returns the keys of a map in order, so that plays repeat.
func sortedFingerprints[V any](m map[quarantine.Fingerprint]V) []quarantine.Fingerprint {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b quarantine.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
