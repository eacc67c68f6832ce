package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/azurethread/azurethread/decide/clock"
)

// maxRecords bounds the memory of a list. A record takes a few hundred bytes,
// and the end of a target creates one for each request in flight there.
const maxRecords = 4096

// answerSlots is the number of recent answers that a list remembers. Contents that
// are requested often, and are therefore in flight at many ends by chance, stay in
// their slots.
const answerSlots = 4096

// List holds the records that one entry VM knows. The zero List is empty.
type List struct {
	records map[Fingerprint]*Record
	// answers holds recent answers, each in the slot of its fingerprint. An end may
	// become known, or be reported by another VM, after an answer that clears it.
	answers []recentAnswer
}

// recentAnswer is the latest answer of a fingerprint at this entry VM.
type recentAnswer struct {
	fingerprint Fingerprint
	at          clock.Time
}

// answerSlot returns the slot of a fingerprint.
func answerSlot(f Fingerprint) int {
	return int(binary.BigEndian.Uint64(f[:8])^binary.BigEndian.Uint64(f[8:])) & (answerSlots - 1)
}

// rememberAnswer remembers an answer of f.
func (l *List) rememberAnswer(now clock.Time, f Fingerprint) {
	if l.answers == nil {
		l.answers = make([]recentAnswer, answerSlots)
	}
	l.answers[answerSlot(f)] = recentAnswer{fingerprint: f, at: now}
}

// answeredAt returns the time of the latest remembered answer of f, or 0.
func (l *List) answeredAt(f Fingerprint) clock.Time {
	if l.answers == nil {
		return 0
	}
	if a := &l.answers[answerSlot(f)]; a.fingerprint == f {
		return a.at
	}
	return 0
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
	// Cleared reports whether the update cleared ends. Answered reports whether it
	// cleared ends that were already followed by an answer at this VM.
	Cleared, Answered bool
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
	before, ends := r.Quarantined(), r.Ends()
	changed := r.merge(&add)
	answered := changed && r.clearBefore(l.answeredAt(add.Fingerprint))
	return Change{
		Record: r.clone(), Changed: changed, WasQuarantined: before,
		Cleared: answered || r.Ends() < ends, Answered: answered,
	}
}

// RecordAnswer records that a request with the fingerprint was answered.
func (l *List) RecordAnswer(now clock.Time, f Fingerprint) Change {
	l.rememberAnswer(now, f)
	r := l.Find(now, f)
	if r == nil || r.Ends() == 0 {
		return Change{}
	}
	before := r.Quarantined()
	r.clear()
	r.Since = now
	return Change{Record: r.clone(), Changed: true, WasQuarantined: before, Cleared: true}
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
