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

// DeathQueryCounts counts what one query of death has done.
type DeathQueryCounts struct {
	Crashes int `json:"ends"`    // targets that ended under it
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
	// DetectionGrace is how long after the third end the fleet may take to know a
	// query of death.
	DetectionGrace = 4 * time.Second
	// DetectionCrashes is the number of ends after which it must know one.
	DetectionCrashes = 3
	// deathQueryWork is how long a target runs a query of death before it ends.
	deathQueryWork = 60 * time.Millisecond
	// crashDowntime is how long a target that has ended takes to start again.
	crashDowntime = 2500 * time.Millisecond
	// defaultRepeatInterval is the time between two callers' attempts where the event does
	// not say.
	defaultRepeatInterval = time.Second
)

// deathQuery is one query of death.
type deathQuery struct {
	event      *Event
	kind       *Kind
	domain     *Domain
	content    quarantine.Fingerprint
	end        clock.Time
	thirdCrash clock.Time // when the third target ended; 0: not yet
	counts     *DeathQueryCounts
}

// startDeathQuery has callers begin to send a query of death, one after the other.
func (f *simulation) startDeathQuery(e *Event) {
	k := slices.IndexFunc(f.pattern.Kinds, func(k Kind) bool { return e.Service == "" || k.Service == e.Service })
	d := slices.IndexFunc(f.pattern.Domains, func(d Domain) bool { return e.Domain == "" || d.Name == e.Domain })
	f.lastContent++
	q := &deathQuery{
		event: e, kind: &f.pattern.Kinds[k], domain: &f.pattern.Domains[d], content: uniqueContent(f.lastContent),
		end: f.now.Add(seconds(e.Duration)), counts: f.recorder.addDeathQuery(),
	}
	callers := max(e.Callers, 1)
	for i := range callers {
		f.after(q.repeatInterval()*time.Duration(i)/time.Duration(callers), func() { f.sendDeathQuery(q) })
	}
}

// repeatInterval is the time between the attempts of one caller.
func (d *deathQuery) repeatInterval() time.Duration {
	return cmp.Or(seconds(d.event.Value), defaultRepeatInterval)
}

// sendDeathQuery has the caller send its request, and come back as others do.
func (f *simulation) sendDeathQuery(d *deathQuery) {
	k := d.kind
	c := &caller{
		kind: k, domain: d.domain, start: f.now, deadline: f.now.Add(millis(k.PatienceMS)), retries: k.Retries,
		object: string(d.domain.Region) + "/deadly", content: d.content, deathQuery: d,
	}
	d.counts.Asked++
	f.attempt(c)
}

// repeatDeathQuery has the caller send the request anew after a pause.
func (f *simulation) repeatDeathQuery(d *deathQuery) {
	if f.now.Add(d.repeatInterval()).After(d.end) {
		return
	}
	f.after(d.repeatInterval(), func() { f.sendDeathQuery(d) })
}

// crashTarget ends the start of t that runs the query of death r.
func (f *simulation) crashTarget(t *target, r *execution, start int64) {
	if t.registered.Born != start || t.down || r.ended {
		return // ended before, or cancelled
	}
	d := r.send.q.deathQuery
	d.counts.Crashes++
	if d.counts.Crashes == DetectionCrashes {
		d.thirdCrash = f.now
	}
	f.recorder.crashCause = d
	f.restartTarget(t, crashDowntime)
	f.recorder.crashCause = nil
}

// addDeathQuery begins the counts of a query of death.
func (b *recorder) addDeathQuery() *DeathQueryCounts {
	d := new(DeathQueryCounts)
	b.deathQueries = append(b.deathQueries, d)
	return d
}

// countDeathQueryArrival counts a query of death that has reached a target.
func (b *recorder) countDeathQueryArrival(now clock.Time, d *deathQuery) {
	d.counts.Reached++
	if d.thirdCrash != 0 && now.After(d.thirdCrash.Add(DetectionGrace)) {
		d.counts.Late++
	}
}

// countLost counts a request that is lost with the end of its target.
func (b *recorder) countLost(q *entryAttempt) {
	if b.crashCause != nil && q.deathQuery != b.crashCause {
		b.crashCause.counts.Lost++
	}
}

// contentOfKind returns the content of a request of a kind.
func (f *simulation) contentOfKind(k *Kind) quarantine.Fingerprint {
	if k.Contents > 0 {
		return quarantine.FingerprintOf(quarantine.Content{Host: k.Name, URI: string(binary.AppendUvarint(nil, uint64(f.rng.IntN(k.Contents))))})
	}
	f.lastContent++
	return uniqueContent(f.lastContent)
}

// uniqueContent returns the content of the request with a number of its own.
func uniqueContent(n uint64) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// storeQuarantine carries a change of a quarantine to the store, of which all
// entry VMs learn.
func (f *simulation) storeQuarantine(q *ingress.Quarantine) {
	fp := q.Record.Fingerprint
	switch {
	case q.Keep:
		rec := q.Record
		f.quarantines[fp] = &rec
	case q.Remove:
		delete(f.quarantines, fp)
	default:
		return
	}
	f.broadcast(func() ingress.Event { return &ingress.QuarantineRead{Fingerprint: fp, Record: f.quarantines[fp]} })
}

// sortedFingerprints returns the keys of a map in order, so that plays repeat.
func sortedFingerprints[V any](m map[quarantine.Fingerprint]V) []quarantine.Fingerprint {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b quarantine.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
