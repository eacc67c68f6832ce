package token

import (
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Status says what a Ledger made of a token.
type Status uint8

// The statuses; the package comment says what each means to the caller.
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

// Reason returns the reason to give to the caller; New has none.
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
	// ID names the token to Finish; set for New and Duplicate.
	ID ID
	// Pending says that the first send is still at work; for Duplicate.
	Pending bool
	// Answer is the HTTP status that the first send was answered with, 0 if
	// there was none; for Duplicate.
	Answer int
	// VM and Incarnation name the process that holds the record; for Elsewhere.
	VM          fleet.VMID
	Incarnation fleet.Incarnation
	// Lost says that the process that held the record has ended, so that
	// nobody can tell the outcome; for Elsewhere.
	Lost bool
	// RetryAfter is how long to wait before asking or sending again; for Full
	// and for a Duplicate that is Pending.
	RetryAfter time.Duration
}

// Options bound a Ledger. Zero values take the defaults.
type Options struct {
	// Capacity is the most records held; default DefaultCapacity.
	Capacity int
	// Retention is how long a record outlives its token's expiry, so that
	// the outcome can still be asked for; default DefaultRetention.
	Retention time.Duration
}

// The defaults of Options, and the waits that callers are asked for.
const (
	DefaultCapacity  = 1 << 18
	DefaultRetention = 2 * time.Minute
	fullRetryAfter   = time.Second
	pendingAskAfter  = 250 * time.Millisecond
)

// maxDropsPerCall bounds the records dropped by one call, so that a call after a
// long pause stays short. Each call adds one record at most, so the backlog
// still shrinks.
const maxDropsPerCall = 32

// Ledger records the tokens admitted by one entry VM process. It is not safe
// for concurrent use.
type Ledger struct {
	minter      *Minter
	self        fleet.VMID
	incarnation fleet.Incarnation
	opts        Options

	slots         map[ID]int32 // only looked up, never ranged over
	records       []record
	free          []int32
	expiries      expiryHeap
	now           clock.Time // highest instant seen
	refusedExpiry clock.Time // highest expiry refused without a record
}

// record is what is known of one token.
type record struct {
	id       ID
	answer   uint16
	verdict  verdict.Verdict
	finished bool
}

// NewLedger returns an empty Ledger of the process (self, inc). No other
// process may ever run under the same pair.
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

// Admit judges one send of tok. If the Status is New, this send may run, it is
// recorded, and the caller must Finish it; any other send must not run.
func (l *Ledger) Admit(now clock.Time, tok string) Admission {
	a, expiry := l.check(now, tok)
	if a.Status != New {
		return a
	}
	l.addRecord(a.ID, expiry, record{id: a.ID})
	return a
}

// Refuse settles tok so that no send of it will run from now on, and reports
// what became of earlier ones. An entry VM that refuses a request with a token
// calls it before it says NotRun: without it, another copy of the request that
// is still on its way could be admitted afterwards. The Status is never New.
func (l *Ledger) Refuse(now clock.Time, tok string) Admission {
	a, expiry := l.check(now, tok)
	if a.Status != New {
		return a
	}
	l.addRecord(a.ID, expiry, record{id: a.ID, verdict: verdict.NotRun, finished: true})
	return Admission{Status: Duplicate, Verdict: verdict.NotRun, ID: a.ID}
}

// Outcome answers a caller that asks what became of tok. It settles a token
// never seen, as Refuse does: "not run" must stay true if the request is still
// on its way.
func (l *Ledger) Outcome(now clock.Time, tok string) Admission {
	return l.Refuse(now, tok)
}

// Finish records how the send admitted under id ended; answer is the HTTP
// status given, or 0. A later, more certain verdict replaces MayHaveRun;
// NotRun and Ran are final. It reports whether it was recorded: it is not once
// the record was dropped or a final verdict stands.
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

// check returns what is known of tok without recording anything but, when the
// Ledger is full, the floor. For New it also returns the token's expiry.
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

// checkUnrecorded judges an authentic token of this process without a record.
func (l *Ledger) checkUnrecorded(id ID, expiry clock.Time) Admission {
	switch {
	case l.now >= expiry.Add(l.opts.Retention):
		return Admission{Status: Expired, Verdict: verdict.MayHaveRun}
	case l.now >= expiry:
		// A record would still be held, so no send was ever admitted.
		return Admission{Status: Expired, Verdict: verdict.NotRun}
	case expiry > l.now.Add(MaxLifetime):
		return Admission{Status: Premature, Verdict: verdict.MayHaveRun}
	case len(l.slots) >= l.opts.Capacity:
		// What goes wrong: this refusal says NotRun and leaves no record, so
		// a second copy of the request, read once there is room, would run
		// after the caller was told otherwise. The floor refuses that copy.
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

// elsewhereAdmission answers for a token of another process. Earlier sends may have
// reached that process, so this one cannot say more than MayHaveRun.
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

// duplicateAdmission answers for a token that has a record.
func (l *Ledger) duplicateAdmission(r record) Admission {
	a := Admission{Status: Duplicate, ID: r.id, Verdict: r.verdict, Answer: int(r.answer)}
	if !r.finished {
		a.Pending = true // and the record's verdict is still MayHaveRun
		a.RetryAfter = pendingAskAfter
	}
	return a
}

// addRecord stores a record until its token's expiry and the retention have passed.
func (l *Ledger) addRecord(id ID, expiry clock.Time, r record) {
	i := l.allocateSlot()
	l.records[i] = r
	l.slots[id] = i
	l.expiries.push(expiryEntry{dropAt: expiry.Add(l.opts.Retention), slot: i})
}

// allocateSlot returns an unused index of records.
func (l *Ledger) allocateSlot() int32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.records = append(l.records, record{})
	return int32(len(l.records) - 1)
}

// advanceClock takes the instant of a call and drops records that are due. Events
// may arrive out of order. If the Ledger's time fell, a token whose record was
// already dropped as expired would be admitted as new.
func (l *Ledger) advanceClock(now clock.Time) {
	l.now = max(l.now, now)
	for n := 0; n < maxDropsPerCall && len(l.expiries) > 0 && l.expiries[0].dropAt <= l.now; n++ {
		d := l.expiries.pop()
		delete(l.slots, l.records[d.slot].id)
		l.records[d.slot] = record{}
		l.free = append(l.free, d.slot)
	}
}
