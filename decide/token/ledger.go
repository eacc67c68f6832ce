package token

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Status is the result of a Ledger's check of a token.
type Status uint8

// The statuses; the package comment describes their meaning for the caller.
const (
	Invalid Status = iota
	New
	Duplicate
	Elsewhere
	Expired
	Full
	Premature
)

var statusNames = [...]string{
	Invalid:   "invalid",
	New:       "new",
	Duplicate: "duplicate",
	Elsewhere: "elsewhere",
	Expired:   "expired",
	Full:      "full",
	Premature: "premature",
}

// String returns the lower-case name, such as "duplicate".
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Reason returns the reason that is sent to the caller; New has none.
func (s Status) Reason() verdict.Reason {
	switch s {
	case New:
		return verdict.ReasonNone
	case Duplicate:
		return verdict.ReasonTokenUsed
	case Elsewhere:
		return verdict.ReasonTokenElsewhere
	case Expired:
		return verdict.ReasonTokenExpired
	case Full:
		return verdict.ReasonOverload
	default:
		return verdict.ReasonTokenInvalid
	}
}

// Admission is a Ledger's answer about one token.
type Admission struct {
	Status Status
	// Verdict covers every send of the token, this one included. It has no
	// meaning for New.
	Verdict verdict.Verdict
	// ID identifies the token for Finish; set for New and Duplicate.
	ID ID
	// Pending is true while the first send is in progress; for Duplicate.
	Pending bool
	// Answer is the HTTP status of the answer to the first send, 0 if there
	// was none; for Duplicate.
	Answer int
	// VM and Incarnation identify the process that holds the record; for
	// Elsewhere.
	VM          fleet.VMID
	Incarnation fleet.Incarnation
	// Lost is true if the process that held the record has ended, so that the
	// outcome can't be found out; for Elsewhere.
	Lost bool
	// RetryAfter is how long to wait before the next query or send; for Full
	// and for a Duplicate that is Pending.
	RetryAfter time.Duration
}

// Options bounds a Ledger. A zero field takes its default.
type Options struct {
	// Capacity is the maximum number of records; default DefaultCapacity.
	Capacity int
	// Retention is how long a record is kept after its token's expiry, so
	// that the outcome can still be queried; default DefaultRetention.
	Retention time.Duration
}

// The defaults of Options, and the values of Admission.RetryAfter.
const (
	DefaultCapacity   = 1 << 18
	DefaultRetention  = 2 * time.Minute
	fullRetryAfter    = time.Second
	pendingRetryAfter = 250 * time.Millisecond
)

// maxDropsPerCall bounds the records dropped by one call, so that a call after a
// long pause stays short. A call adds at most one record, so the backlog still
// shrinks.
const maxDropsPerCall = 32

// Ledger records the tokens admitted by one entry VM process. It is not safe
// for concurrent use.
type Ledger struct {
	minter      *Minter
	self        fleet.VMID
	incarnation fleet.Incarnation
	opts        Options

	slots         map[ID]int32 // indexes of records; never ranged over, for determinism
	records       []record
	free          []int32
	expiries      expiryHeap
	now           clock.Time // latest instant of all calls
	refusedExpiry clock.Time // highest expiry refused without a record
}

// record is the state of one token.
type record struct {
	id       ID
	answer   uint16
	verdict  verdict.Verdict
	finished bool
}

// NewLedger returns an empty Ledger of the process (self, inc). No other process
// may ever run with the same pair.
func NewLedger(key []byte, self fleet.VMID, inc fleet.Incarnation, o Options) *Ledger {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	return &Ledger{
		minter:      NewMinter(key),
		self:        self,
		incarnation: inc,
		opts:        o,
		slots:       make(map[ID]int32),
	}
}

// Len returns the number of records held.
func (l *Ledger) Len() int { return len(l.slots) }

// Admit checks one send of tok. If the Status is New, the send is recorded and
// may run, and the user of the Ledger must call Finish for it. With any other
// Status the send must not run.
func (l *Ledger) Admit(now clock.Time, tok string) Admission {
	a, expiry := l.check(now, tok)
	if a.Status != New {
		return a
	}
	l.addRecord(a.ID, expiry, record{id: a.ID})
	return a
}

// Refuse records that no send of tok may run from now on, and returns the outcome
// of earlier ones. An entry VM that refuses a request with a token calls it
// before it answers NotRun: otherwise another copy of the request that is still
// in transit could be admitted afterwards. The Status is never New.
func (l *Ledger) Refuse(now clock.Time, tok string) Admission {
	a, expiry := l.check(now, tok)
	if a.Status != New {
		return a
	}
	l.addRecord(a.ID, expiry, record{id: a.ID, verdict: verdict.NotRun, finished: true})
	return Admission{Status: Duplicate, Verdict: verdict.NotRun, ID: a.ID}
}

// Outcome returns the outcome of tok for a caller's query. It refuses a token
// that was never seen, as Refuse does: NotRun must stay true even if the request
// is still in transit.
func (l *Ledger) Outcome(now clock.Time, tok string) Admission {
	return l.Refuse(now, tok)
}

// Finish records the verdict of the send admitted under id; answer is the HTTP
// status of its answer, or 0. A later verdict replaces MayHaveRun; NotRun and
// Ran are final. It reports whether the verdict was recorded, which it is not if
// the record was dropped or has a final verdict.
func (l *Ledger) Finish(now clock.Time, id ID, v verdict.Verdict, answer int) bool {
	l.advanceClock(now)
	i, ok := l.slots[id]
	if !ok {
		return false
	}
	r := &l.records[i]
	if r.finished && r.verdict != verdict.MayHaveRun {
		return false
	}
	r.finished = true
	r.verdict = v
	r.answer = uint16(answer)
	return true
}

// check returns the Admission of tok, and for New the token's expiry. It adds no
// record, but raises refusedExpiry if the Ledger is full.
func (l *Ledger) check(now clock.Time, tok string) (Admission, clock.Time) {
	l.advanceClock(now)
	b, ok := l.minter.verify(tok)
	if !ok {
		return Admission{Status: Invalid, Verdict: verdict.NotRun}, 0
	}
	p := partsOf(b)
	if string(p.vm) != string(l.self) || p.incarnation != l.incarnation {
		return l.elsewhereAdmission(p), 0
	}
	id := idOf(b)
	if i, held := l.slots[id]; held {
		return l.duplicateAdmission(l.records[i]), 0
	}
	return l.checkUnrecorded(id, p.expiry), p.expiry
}

// checkUnrecorded checks an authentic token of this process that has no record.
func (l *Ledger) checkUnrecorded(id ID, expiry clock.Time) Admission {
	switch {
	case l.now >= expiry.Add(l.opts.Retention):
		return Admission{Status: Expired, Verdict: verdict.MayHaveRun}
	case l.now >= expiry:
		// If a send had been admitted, its record would still be held.
		return Admission{Status: Expired, Verdict: verdict.NotRun}
	case expiry > l.now.Add(MaxLifetime):
		return Admission{Status: Premature, Verdict: verdict.MayHaveRun}
	case len(l.slots) >= l.opts.Capacity:
		// This refusal answers NotRun without a record. A second copy of the
		// request, read once there is room, would run in spite of that
		// answer. refusedExpiry makes the Ledger refuse that copy.
		l.refusedExpiry = max(l.refusedExpiry, expiry)
		return l.fullAdmission()
	case expiry <= l.refusedExpiry:
		return l.fullAdmission()
	default:
		return Admission{Status: New, ID: id}
	}
}

func (l *Ledger) fullAdmission() Admission {
	return Admission{Status: Full, Verdict: verdict.NotRun, RetryAfter: fullRetryAfter}
}

// elsewhereAdmission returns the Admission of a token of another process. Earlier
// sends may have reached that process, so the verdict is MayHaveRun.
func (l *Ledger) elsewhereAdmission(p tokenParts) Admission {
	a := Admission{Status: Elsewhere, Verdict: verdict.MayHaveRun, Incarnation: p.incarnation}
	if string(p.vm) != string(l.self) {
		a.VM = fleet.VMID(p.vm)
		return a
	}
	a.VM = l.self
	a.Lost = p.incarnation < l.incarnation
	return a
}

// duplicateAdmission returns the Admission of a token that has a record.
func (l *Ledger) duplicateAdmission(r record) Admission {
	a := Admission{Status: Duplicate, ID: r.id, Verdict: r.verdict, Answer: int(r.answer)}
	if !r.finished {
		a.Pending = true // an unfinished record has the zero verdict, MayHaveRun
		a.RetryAfter = pendingRetryAfter
	}
	return a
}

// addRecord stores a record until the retention after its token's expiry has
// passed.
func (l *Ledger) addRecord(id ID, expiry clock.Time, r record) {
	i := l.allocateSlot()
	l.records[i] = r
	l.slots[id] = i
	l.expiries.push(expiryEntry{dropAt: expiry.Add(l.opts.Retention), slot: i})
}

// allocateSlot returns a free index of records.
func (l *Ledger) allocateSlot() int32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.records = append(l.records, record{})
	return int32(len(l.records) - 1)
}

// advanceClock advances the Ledger's time to the instant of a call and drops
// records that are due. Events may arrive out of order, and an earlier instant
// leaves the time unchanged: if it fell, a token whose record was dropped after
// expiry would be admitted as new.
func (l *Ledger) advanceClock(now clock.Time) {
	l.now = max(l.now, now)
	for n := 0; n < maxDropsPerCall && len(l.expiries) > 0 && l.expiries[0].dropAt <= l.now; n++ {
		d := l.expiries.pop()
		delete(l.slots, l.records[d.slot].id)
		l.records[d.slot] = record{}
		l.free = append(l.free, d.slot)
	}
}
