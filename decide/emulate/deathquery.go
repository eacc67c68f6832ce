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

// DeathQueryCounts counts the effects of one query of death: a request that
// crashes every target that executes it.
type DeathQueryCounts struct {
	Crashes int `json:"ends"`    // targets that it crashed
	Reached int `json:"reached"` // sends of it that reached targets
	// Late counts the sends that reached targets more than DetectionGrace after
	// the third crash.
	Late int `json:"late"`
	// Lost counts the requests of other callers that were lost in the crashes.
	Lost int `json:"lost"`
	// Asked counts how often its callers started the request.
	Asked int `json:"asked"`
}

const (
	// DetectionGrace is how long after the third crash the fleet may take to
	// detect a query of death.
	DetectionGrace = 4 * time.Second
	// DetectionCrashes is the number of crashes after which it must detect one.
	DetectionCrashes = 3
	// deathQueryWork is how long a target executes a query of death before it
	// crashes.
	deathQueryWork = 60 * time.Millisecond
	// crashDowntime is how long a crashed target takes to restart.
	crashDowntime = 2500 * time.Millisecond
	// defaultRepeatInterval is the time after which a caller sends the request
	// again if the event does not set one.
	defaultRepeatInterval = time.Second
)

// deathQuery is one query of death.
type deathQuery struct {
	event      *Event
	kind       *Kind
	domain     *Domain
	content    quarantine.Fingerprint
	endsAt     clock.Time
	thirdCrash clock.Time // time of the third crash; 0 if not yet
	counts     *DeathQueryCounts
}

// startDeathQuery starts the callers of a query of death, spread over one
// interval.
func (sim *simulation) startDeathQuery(e *Event) {
	k := slices.IndexFunc(sim.pattern.Kinds, func(k Kind) bool { return e.Service == "" || k.Service == e.Service })
	d := slices.IndexFunc(sim.pattern.Domains, func(d Domain) bool { return e.Domain == "" || d.Name == e.Domain })
	sim.lastContent++
	q := &deathQuery{
		event: e, kind: &sim.pattern.Kinds[k], domain: &sim.pattern.Domains[d], content: uniqueContent(sim.lastContent),
		endsAt: sim.now.Add(seconds(e.Duration)), counts: sim.recorder.addDeathQuery(),
	}
	callers := max(e.Callers, 1)
	for i := range callers {
		sim.after(q.repeatInterval()*time.Duration(i)/time.Duration(callers), func() { sim.sendDeathQuery(q) })
	}
}

// repeatInterval returns the time after which one caller sends the request again.
func (d *deathQuery) repeatInterval() time.Duration {
	return cmp.Or(seconds(d.event.Value), defaultRepeatInterval)
}

// sendDeathQuery starts the request of one caller, with the retries of an ordinary
// request.
func (sim *simulation) sendDeathQuery(d *deathQuery) {
	k := d.kind
	c := &caller{
		kind: k, domain: d.domain, startedAt: sim.now, deadline: sim.now.Add(millis(k.PatienceMS)), retries: k.Retries,
		object: string(d.domain.Region) + "/deadly", content: d.content, deathQuery: d,
	}
	d.counts.Asked++
	sim.attempt(c)
}

// repeatDeathQuery starts the request again after the interval.
func (sim *simulation) repeatDeathQuery(d *deathQuery) {
	if sim.now.Add(d.repeatInterval()).After(d.endsAt) {
		return
	}
	sim.after(d.repeatInterval(), func() { sim.sendDeathQuery(d) })
}

// crashTarget crashes t because of the query of death r, unless r was cancelled or
// the process that executed it, which began at start, has already ended.
func (sim *simulation) crashTarget(t *target, r *execution, start int64) {
	if t.registered.StartedAt != start || t.down || r.ended {
		return // the process has ended, or r was cancelled
	}
	d := r.send.attempt.deathQuery
	d.counts.Crashes++
	if d.counts.Crashes == DetectionCrashes {
		d.thirdCrash = sim.now
	}
	sim.recorder.crashCause = d
	sim.restartTarget(t, crashDowntime)
	sim.recorder.crashCause = nil
}

// addDeathQuery adds the counts of a new query of death.
func (rec *recorder) addDeathQuery() *DeathQueryCounts {
	d := new(DeathQueryCounts)
	rec.deathQueries = append(rec.deathQueries, d)
	return d
}

// countDeathQueryArrival counts a query of death that has reached a target.
func (rec *recorder) countDeathQueryArrival(now clock.Time, d *deathQuery) {
	d.counts.Reached++
	if d.thirdCrash != 0 && now.After(d.thirdCrash.Add(DetectionGrace)) {
		d.counts.Late++
	}
}

// countLost counts a request that is lost because its target crashes.
func (rec *recorder) countLost(q *entryAttempt) {
	if rec.crashCause != nil && q.deathQuery != rec.crashCause {
		rec.crashCause.counts.Lost++
	}
}

// drawContent draws the content of a request of a kind.
func (sim *simulation) drawContent(k *Kind) quarantine.Fingerprint {
	if k.Contents > 0 {
		return quarantine.FingerprintOf(quarantine.Content{Host: k.Name, URI: string(binary.AppendUvarint(nil, uint64(sim.rng.IntN(k.Contents))))})
	}
	sim.lastContent++
	return uniqueContent(sim.lastContent)
}

// uniqueContent returns the n-th unique content.
func uniqueContent(n uint64) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], n)
	return f
}

// storeQuarantine writes a change of a quarantine to the store and notifies all
// entry VMs.
func (sim *simulation) storeQuarantine(q *ingress.Quarantine) {
	fp := q.Record.Fingerprint
	switch {
	case q.Keep:
		rec := q.Record
		sim.quarantines[fp] = &rec
	case q.Remove:
		delete(sim.quarantines, fp)
	default:
		return
	}
	sim.broadcast(func() ingress.Event { return &ingress.QuarantineRead{Fingerprint: fp, Record: sim.quarantines[fp]} })
}

// sortedFingerprints returns the keys of a map in order, so that runs are
// reproducible.
func sortedFingerprints[V any](m map[quarantine.Fingerprint]V) []quarantine.Fingerprint {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b quarantine.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
