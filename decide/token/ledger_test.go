package token

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func nonce(n uint64) (b [NonceSize]byte) {
	binary.BigEndian.PutUint64(b[:], n)
	return b
}

func at(d time.Duration) clock.Time { return clock.Time(0).Add(d) }

// Two sends of one token are in transit; the second is read first and refused,
// then the first is read. Guards against a token that can be admitted again
// after NotRun: a permit request would run although its caller got NotRun, and
// again with a fresh token.
func TestNotRunSpendsToken(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{})
	tok := Mint(testKey, "vm-1", 1, nonce(1), at(time.Minute))
	second := l.Admit(0, tok)
	is.Equal(second.Status, New)
	is.True(l.Finish(0, second.ID, verdict.NotRun, 503))
	first := l.Admit(at(time.Second), tok)
	is.Equal(first.Status, Duplicate)
	is.Equal(first.Verdict, verdict.NotRun)
}

// The ledger is full and refuses a token, then has room again, and a second copy
// of the request arrives. Guards against a refusal that isn't recorded: a fee
// would be posted after the answer "overloaded, not run".
func TestRefusalWhileFullIsFinal(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{Capacity: 1, Retention: time.Second})
	is.Equal(l.Admit(0, Mint(testKey, "vm-1", 1, nonce(1), at(time.Second))).Status, New)
	refused := Mint(testKey, "vm-1", 1, nonce(2), at(time.Minute))
	a := l.Admit(0, refused)
	is.Equal(a.Status, Full)
	is.Equal(a.Verdict, verdict.NotRun)
	is.True(a.RetryAfter > 0)
	is.Equal(l.Admit(at(3*time.Second), refused).Status, Full) // refused although there is room
	fresh := Mint(testKey, "vm-1", 1, nonce(3), at(time.Minute+time.Second))
	is.Equal(l.Admit(at(3*time.Second), fresh).Status, New)
}

// A caller's query for the outcome overtakes its request. Guards against running
// the request after the query was answered with "not run", which must hold for
// later sends as well.
func TestOutcomeOfUnseenTokenIsFinal(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{})
	tok := Mint(testKey, "vm-1", 1, nonce(1), at(time.Minute))
	is.Equal(l.Outcome(0, tok).Verdict, verdict.NotRun)
	is.Equal(l.Admit(at(time.Second), tok).Status, Duplicate)
}

// A token is used, its record is dropped after expiry, and an event with an
// earlier instant contains the token again. Guards against checking expiry by
// the event's instant alone: a posting would run twice.
func TestExpiredTokenStaysExpiredWhenClockFallsBack(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{Retention: time.Second})
	tok := Mint(testKey, "vm-1", 1, nonce(1), at(time.Minute))
	is.Equal(l.Admit(0, tok).Status, New)
	is.Equal(l.Admit(at(2*time.Minute), tok).Status, Expired)
	is.Equal(l.Len(), 0)
	is.Equal(l.Admit(at(time.Second), tok).Status, Expired)
}

func TestExpiredVerdicts(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{Retention: time.Minute})
	unseen := Mint(testKey, "vm-1", 1, nonce(1), at(time.Minute))
	a := l.Admit(at(time.Minute), unseen)
	is.Equal(a.Status, Expired)
	is.Equal(a.Verdict, verdict.NotRun) // a record would still be held
	a = l.Admit(at(2*time.Minute), unseen)
	is.Equal(a.Verdict, verdict.MayHaveRun)
	early := Mint(testKey, "vm-1", 1, nonce(2), at(2*time.Minute+MaxLifetime+1))
	a = l.Admit(at(2*time.Minute), early)
	is.Equal(a.Status, Premature)
	is.Equal(a.Verdict, verdict.MayHaveRun)
}

func TestFinalVerdictIsKept(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testKey, "vm-1", 1, Options{})
	tok := Mint(testKey, "vm-1", 1, nonce(1), at(time.Minute))
	id := l.Admit(0, tok).ID
	is.True(l.Admit(0, tok).Pending)
	is.True(l.Finish(0, id, verdict.MayHaveRun, 504))
	is.True(l.Finish(0, id, verdict.Ran, 201)) // late answer
	is.True(!l.Finish(0, id, verdict.NotRun, 503))
	a := l.Outcome(0, tok)
	is.Equal(a.Verdict, verdict.Ran)
	is.Equal(a.Answer, 201)
	is.True(!a.Pending)
}

func TestParse(t *testing.T) {
	is := is.New(t)
	want := Fields{VM: "attiki-1-a", Incarnation: 7, Nonce: nonce(9), Expiry: 12345}
	m := NewMinter(testKey)
	got, ok := m.Parse(m.Mint(want))
	is.True(ok)
	is.Equal(got, want)
	is.Equal(m.Mint(Fields{}), "")
	_, ok = NewMinter([]byte("another key, 16+")).Parse(m.Mint(want))
	is.True(!ok)
}

// tokenModel is the expected state of one token in the randomised test.
type tokenModel struct {
	text           string
	vm             int
	inc            fleet.Incarnation
	id             ID
	ran            bool // whether its work ran; drawn when the token is admitted
	admissions     int  // times admitted, over all processes
	answeredNotRun bool // a caller got NotRun
}

// TestTokenRunsAtMostOnce runs random sends, refusals, finishes, forward and
// backward clock steps, and restarts at two entry VMs with tiny ledgers.
func TestTokenRunsAtMostOnce(t *testing.T) {
	events, admitted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{Capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), Retention: 2 * time.Second}
		vms := []fleet.VMID{"vm-0", "vm-1"}
		incs := []fleet.Incarnation{1, 1}
		ledgers := []*Ledger{NewLedger(testKey, vms[0], 1, opts), NewLedger(testKey, vms[1], 1, opts)}
		now := at(time.Hour)
		var tokens []*tokenModel
		checkVerdict := func(m *tokenModel, a Admission) {
			if a.Status == New || a.Verdict != verdict.NotRun {
				return
			}
			m.answeredNotRun = true
			if m.ran {
				t.Fatalf("status %v with verdict not-run for a token that ran", a.Status)
			}
		}
		pickToken := func(t *rapid.T) *tokenModel {
			if len(tokens) == 0 {
				t.Skip("no token yet")
			}
			return tokens[rapid.IntRange(max(0, len(tokens)-8), len(tokens)-1).Draw(t, "token")]
		}
		pickLedger := func(t *rapid.T, m *tokenModel) *Ledger {
			if rapid.IntRange(0, 9).Draw(t, "elsewhere") == 0 {
				return ledgers[1-m.vm]
			}
			return ledgers[m.vm]
		}
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				vm := rapid.IntRange(0, 1).Draw(t, "vm")
				skew := time.Duration(rapid.IntRange(-2, 6).Draw(t, "expiry")) * time.Second
				text := Mint(testKey, vms[vm], incs[vm], nonce(uint64(len(tokens))), now.Add(skew))
				tokens = append(tokens, &tokenModel{text: text, vm: vm, inc: incs[vm]})
			},
			"admit": func(t *rapid.T) {
				m := pickToken(t)
				a := pickLedger(t, m).Admit(now, m.text)
				checkVerdict(m, a)
				if a.Status != New {
					return
				}
				m.admissions++
				admitted++
				if m.admissions > 1 || m.answeredNotRun {
					t.Fatalf("token admitted %d times; answered with not-run before: %v", m.admissions, m.answeredNotRun)
				}
				m.id = a.ID
				m.ran = rapid.Bool().Draw(t, "ran")
			},
			"finish": func(t *rapid.T) {
				m := pickToken(t)
				if m.admissions == 0 {
					t.Skip("not admitted")
				}
				v := verdict.NotRun
				if m.ran {
					v = rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.MayHaveRun}).Draw(t, "verdict")
				}
				ledgers[m.vm].Finish(now, m.id, v, 200)
			},
			"refuse": func(t *rapid.T) {
				m := pickToken(t)
				checkVerdict(m, pickLedger(t, m).Refuse(now, m.text))
			},
			"clock": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				vm := rapid.IntRange(0, 1).Draw(t, "vm")
				incs[vm]++
				ledgers[vm] = NewLedger(testKey, vms[vm], incs[vm], opts)
			},
			"": func(t *rapid.T) {
				events++
				for _, l := range ledgers {
					if l.Len() > opts.Capacity || len(l.expiries) != l.Len() || len(l.records) > opts.Capacity {
						t.Fatalf("%d records, %d drops, %d slots, capacity %d", l.Len(), len(l.expiries), len(l.records), opts.Capacity)
					}
				}
			},
		})
	})
	t.Logf("%d events, %d tokens admitted", events, admitted)
	if admitted == 0 {
		t.Error("no token was ever admitted")
	}
}

// FuzzParse checks that no text causes a panic, and that only minted tokens in
// their one valid text are accepted.
func FuzzParse(f *testing.F) {
	m := NewMinter(testKey)
	good := m.Mint(Fields{VM: "vm-1", Incarnation: 1, Nonce: nonce(1), Expiry: 99})
	f.Add("")
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(good + "\n")
	f.Add(good[:10] + "\n" + good[10:])
	f.Add("AQ")
	f.Add("Af8AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Add("====")
	f.Fuzz(func(t *testing.T, s string) {
		got, ok := m.Parse(s)
		if ok && m.Mint(got) != s {
			t.Fatalf("accepted %q as another text of the token %+v", s, got)
		}
	})
}

func BenchmarkMint(b *testing.B) {
	m := NewMinter(testKey)
	f := Fields{VM: "attiki-1-a", Incarnation: 1, Expiry: at(time.Hour)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.Nonce = nonce(uint64(i))
		m.Mint(f)
	}
}

// BenchmarkAdmitFinish measures one request at a ledger in steady state: a token
// per 1.5 ms (667 a second), each held for 30 s.
func BenchmarkAdmitFinish(b *testing.B) {
	l := NewLedger(testKey, "attiki-1-a", 1, Options{Retention: time.Second})
	m := NewMinter(testKey)
	const step = 1500 * time.Microsecond
	toks := make([]string, 1<<16)
	for i := range toks {
		expiry := at(time.Duration(i)*step + 29*time.Second)
		toks[i] = m.Mint(Fields{VM: "attiki-1-a", Incarnation: 1, Nonce: nonce(uint64(i)), Expiry: expiry})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i == len(toks) {
			b.StopTimer()
			l = NewLedger(testKey, "attiki-1-a", 1, Options{Retention: time.Second})
			i = 0
			b.StartTimer()
		}
		now := at(time.Duration(i) * step)
		a := l.Admit(now, toks[i])
		if a.Status != New {
			b.Fatal(a.Status)
		}
		l.Finish(now, a.ID, verdict.Ran, 200)
		i++
	}
}
