package explain

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testLogs = `
not a log line
 1.00 vm-a {"event":"target","level":"info","msg":"ejected","target":"t1","time":"2026-01-01T00:00:01Z"}
 1.10 vm-b {"event":"store","level":"warning","msg":"store is not reachable","time":"2026-01-01T00:00:01.1Z"}
 1.20 vm-a {"event":"store","level":"warning","msg":"store is not reachable","time":"2026-01-01T00:00:01.2Z"}
 1.30 vm-a {"event":"target","level":"info","msg":"ejected","target":"t9","time":"2026-01-01T00:00:01.3Z"}
 2.00 vm-b {"event":"request","request":"r1","vm":"vm-b","msg":"answered by this entry VM","status":504,"verdict":"may-have-run","reason":"deadline","sends":[{"target":"t1","after_ms":3,"took_ms":0,"outcome":"under way","verdict":"may-have-run"}],"time":"2026-01-01T00:00:02Z"}
 2.10 vm-b {"event":"request","request":"r2","vm":"vm-b","msg":"answered by this entry VM","status":503,"verdict":"not-run","reason":"overload","sends":null,"time":"2026-01-01T00:00:02.1Z"}
 2.20 vm-b {"event":"target","msg":"ejected","target":"t1","time":"2026-01-01T00:00:02.2Z"}
{"event":"request", cut short
`

func TestReadSelectsRelevantLines(t *testing.T) {
	is := is.New(t)
	r, err := Read("r1", strings.NewReader(testLogs))
	is.NoErr(err)
	is.True(strings.Contains(r.Cause, "may have run"))
	var got []string
	for _, l := range r.Lines {
		got = append(got, l.VM+" "+l.Event)
	}
	// Excluded: the store of vm-a, other targets, and lines after the end.
	is.Equal(got, []string{"vm-a target", "vm-b store", "vm-b request"})
	var b bytes.Buffer
	Print(&b, r)
	is.True(strings.Contains(b.String(), "after 3 ms to t1:"))
}

// Guards against a second send that reads like a retry after a failure.
func TestPrintNamesSecondSends(t *testing.T) {
	is := is.New(t)
	r, err := Read("r1", strings.NewReader(strings.Replace(testLogs, `"after_ms":3,`, `"after_ms":3,"hedge":true,`, 1)))
	is.NoErr(err)
	var b bytes.Buffer
	Print(&b, r)
	is.True(strings.Contains(b.String(), "after 3 ms to t1 as a hedge:"))
}

// Guards against a request that is explained by its line alone: a later line proves that the
// answer which ended it was not its own.
func TestReadIncludesUnsolicitedBytes(t *testing.T) {
	is := is.New(t)
	const later = ` 2.30 vm-b {"event":"unsolicited","msg":"received bytes that belong to no request","request":"r1","target":"t1","kind":"taken","time":"2026-01-01T00:00:02.3Z"}`
	r, err := Read("r1", strings.NewReader(testLogs+later))
	is.NoErr(err)
	is.True(strings.Contains(r.Cause, "may have run"))
	var b bytes.Buffer
	Print(&b, r)
	is.True(strings.Contains(b.String(), "received bytes that belong to no request target=t1 kind=taken"))
}

// Guards against a refusal whose proof cannot be seen: whether the target's answer names the
// request, what its connection had carried before, or the error that ended the send.
func TestPrintStatesEvidence(t *testing.T) {
	is := is.New(t)
	for fields, text := range map[string]string{
		`"verdict":"not-run","answer":{"named":false,"earlier":7,"head_ms":0.04}`:              "names no request, came 0.04 ms after the write, and 7 answers had come on its connection before\n",
		`"verdict":"not-run","answer":{"named":false,"earlier":7,"head_ms":0.04,"rtt_ms":0.9}`: "7 answers had come on its connection before; a round trip takes 0.9 ms or more\n",
		`"verdict":"not-run","answer":{"named":true,"earlier":0,"head_ms":2}`:                  "names the request, came 2 ms after the write, and 0 answers had come on its connection before\n",
		`"verdict":"not-run","error":"write: broken pipe"`:                                     "(not-run): write: broken pipe\n",
	} {
		r, err := Read("r1", strings.NewReader(strings.Replace(testLogs, `"outcome":"under way","verdict":"may-have-run"`, fields, 1)))
		is.NoErr(err)
		var b bytes.Buffer
		Print(&b, r)
		is.True(strings.Contains(b.String(), text)) // text
	}
}

func TestReadRefusedRequest(t *testing.T) {
	is := is.New(t)
	r, err := Read("r2", strings.NewReader(testLogs))
	is.NoErr(err)
	is.Equal(r.Cause, "Refused without a send (overload): it has not run.")
	_, err = Read("r3", strings.NewReader(testLogs))
	is.True(errors.Is(err, ErrNotFound))
}

// When many targets leave at once, one line names all of them. It must be part
// of the report on a request that was lost with one of these targets. Matching
// only a line's single target field would miss it.
func TestReadIncludesLineAboutManyTargets(t *testing.T) {
	is := is.New(t)
	logs := strings.Replace(testLogs, `{"event":"target","level":"info","msg":"ejected","target":"t9"`,
		`{"event":"target","level":"info","msg":"registrations changed","gone":2,"gone_targets":["t8","t1"],"draining_targets":null`, 1)
	r, err := Read("r1", strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(r.Lines[2].Text, "registrations changed")
}

// A request may be refused because of a quarantine that began hours before; the
// report must include the line about it.
func TestReadIncludesQuarantineOfRefusedRequest(t *testing.T) {
	is := is.New(t)
	logs := `vm-a {"event":"quarantine","level":"warning","msg":"request quarantined: it is not sent to targets because it crashes them","fingerprint":"f1","route":"r","time":"2026-01-01T00:00:01Z"}
vm-a {"event":"quarantine","level":"warning","msg":"request quarantined: it is not sent to targets because it crashes them","fingerprint":"f2","route":"r","time":"2026-01-01T00:00:01Z"}
vm-b {"event":"request","request":"r1","vm":"vm-b","msg":"answered by this entry VM","status":503,"verdict":"not-run","reason":"quarantined","fingerprint":"f1","sends":null,"time":"2026-01-01T05:00:00Z"}
`
	r, err := Read("r1", strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(len(r.Lines), 2)
	is.Equal(r.Lines[0].Fields["fingerprint"], "f1")
}

// A request without a valid key, or over its account's quota, must be explained
// without its sends. The decision may have been made at another entry VM.
func TestReadExplainsAccounts(t *testing.T) {
	is := is.New(t)
	logs := `vm-c {"event":"quota","vm":"vm-c","account":"north","from":"vm-b","tokens":0.3,"msg":"account has no token left here","time":"2026-01-01T00:00:01Z"}
vm-c {"event":"quota","vm":"vm-c","account":"south","from":"vm-b","tokens":0.3,"msg":"account has no token left here","time":"2026-01-01T00:00:01Z"}
vm-b {"event":"request","request":"r1","vm":"vm-b","account":"north","status":429,"verdict":"not-run","reason":"over-quota","sends":null,"time":"2026-01-01T00:00:02Z"}
vm-b {"event":"request","request":"r2","vm":"vm-b","account":"","status":401,"verdict":"not-run","reason":"key-unknown","sends":null,"time":"2026-01-01T00:00:02Z"}
`
	r, err := Read("r1", strings.NewReader(logs))
	is.NoErr(err)
	is.True(strings.Contains(r.Cause, "north"))
	is.Equal(len(r.Lines), 2) // the decision of vm-c and the request itself
	r, err = Read("r2", strings.NewReader(logs))
	is.NoErr(err)
	is.True(strings.Contains(r.Cause, "holds the key"))
	is.Equal(len(r.Lines), 1)
}

// A request that was refused because of what its targets have stated must be explained
// by these statements, although it was sent nowhere.
func TestReadExplainsNotices(t *testing.T) {
	is := is.New(t)
	logs := `vm-c {"event":"target","msg":"asks for a backoff","target":"t1","stated_ms":3000,"time":"2026-01-01T00:00:01Z"}
vm-c {"event":"target","msg":"ejected","target":"t2","time":"2026-01-01T00:00:01Z"}
vm-b {"event":"request","request":"r1","vm":"vm-b","status":503,"verdict":"not-run","reason":"target-unavailable","retry_after_ms":2400,"sends":null,"time":"2026-01-01T00:00:02Z"}
`
	r, err := Read("r1", strings.NewReader(logs))
	is.NoErr(err)
	is.True(strings.Contains(r.Cause, "backoff"))
	is.Equal(len(r.Lines), 2)
	var b bytes.Buffer
	Print(&b, r)
	is.True(strings.Contains(b.String(), "stated_ms=3000"))
}
