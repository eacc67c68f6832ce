package quarantine

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
)

// maxRecords bounds the memory of a list. A record takes a few hundred bytes,
// and the end of a target creates one for each request in flight there.
const maxRecords = 4096

// List holds the records that one entry VM knows. The zero List is empty.
type List struct {
	records map[Fingerprint]*Record
}

// Len returns the number of records.
func (l *List) Len() int { return len(l.records) }

// Find returns the record of a fingerprint, or nil. The record is valid until
// the list next changes and must not be modified.
func (l *List) Find(now clock.Time, f Fingerprint) *Record {
	r, ok := l.records[f]
	if !ok {
		return nil
	}
	if !r.Expires().After(now) {
		delete(l.records, f)
		return nil
	}
	return r
}

// Ends returns the number of counted ends of a fingerprint that no answer has
// cleared.
func (l *List) Ends(now clock.Time, f Fingerprint) int {
	if r := l.Find(now, f); r != nil {
		return r.Ends()
	}
	return 0
}

// Change describes the effect of an update on a record.
type Change struct {
	Record  Record // copy of the record after the update
	Changed bool
	// WasQuarantined reports whether the fingerprint was in quarantine before the
	// update.
	WasQuarantined bool
}

// Lifted reports whether the update ended the quarantine of the fingerprint.
func (c *Change) Lifted() bool { return c.WasQuarantined && !c.Record.Quarantined() }

// RecordEnd records the end of a target where a request with the fingerprint was
// in flight.
func (l *List) RecordEnd(now clock.Time, f Fingerprint, route string, e End) Change {
	end := Record{Fingerprint: f, Route: route, Ended: []End{e}, Since: now}
	if r := l.Find(now, f); r != nil {
		end.Round = r.Round
	}
	return l.Merge(now, &end)
}

// Merge adds a record received from another entry VM or read from the store.
func (l *List) Merge(now clock.Time, other *Record) Change {
	add := other.clone()
	add.Since = min(add.Since, now) // the sender's clock may be ahead
	if !add.Expires().After(now) {
		return Change{Record: add}
	}
	r := l.Find(now, add.Fingerprint)
	if r == nil {
		r = &Record{Fingerprint: add.Fingerprint}
		l.add(now, r)
	}
	before := r.Quarantined()
	changed := r.merge(&add)
	return Change{Record: r.clone(), Changed: changed, WasQuarantined: before}
}

// RecordAnswer records that a request with the fingerprint was answered.
func (l *List) RecordAnswer(now clock.Time, f Fingerprint) Change {
	r := l.Find(now, f)
	if r == nil || r.Ends() == 0 {
		return Change{}
	}
	before := r.Quarantined()
	r.clear()
	r.Since = now
	return Change{Record: r.clone(), Changed: true, WasQuarantined: before}
}

// RecordTrial records that a request with the fingerprint is let through as a trial.
func (l *List) RecordTrial(now clock.Time, f Fingerprint) Change {
	r := l.Find(now, f)
	if r == nil {
		return Change{}
	}
	r.Trials++
	r.Since = now
	return Change{Record: r.clone(), Changed: true, WasQuarantined: r.Quarantined()}
}

// Expire drops expired records and returns the fingerprints of those that were
// in quarantine.
func (l *List) Expire(now clock.Time) []Fingerprint {
	var expired []Fingerprint
	for f, r := range l.records {
		if r.Expires().After(now) {
			continue
		}
		delete(l.records, f)
		if r.Quarantined() {
			expired = append(expired, f)
		}
	}
	slices.SortFunc(expired, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return expired
}

// QuarantinedCount returns the number of fingerprints in quarantine.
func (l *List) QuarantinedCount() int {
	n := 0
	for _, r := range l.records {
		if r.Quarantined() {
			n++
		}
	}
	return n
}

// add inserts a record. A full list first drops expired records, then those
// with the fewest ends, oldest first.
func (l *List) add(now clock.Time, r *Record) {
	if l.records == nil {
		l.records = make(map[Fingerprint]*Record)
	}
	if len(l.records) >= maxRecords {
		l.Expire(now)
	}
	if len(l.records) >= maxRecords {
		l.evict()
	}
	l.records[r.Fingerprint] = r
}

// evict drops an eighth of the records at once, because comparing all of them
// takes a millisecond.
func (l *List) evict() {
	type ranked struct {
		ends int
		r    *Record
	}
	all := make([]ranked, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, ranked{r.Ends(), r})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.ends, b.ends),
			cmp.Compare(a.r.Since, b.r.Since),
			bytes.Compare(a.r.Fingerprint[:], b.r.Fingerprint[:]),
		)
	})
	for _, x := range all[:maxRecords/8] {
		delete(l.records, x.r.Fingerprint)
	}
}
