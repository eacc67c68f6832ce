package entryfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
)

// completeYAML and completeJSON have every field, with the same content.
const completeYAML = `# rehearsal of March
services:
  - name: calc-lookup
    idempotent: true
    priority: interactive
    timeout: 2s
    token_optional: false
shifts:
  - id: march
    owner: platform-team
    class: rehearsal
    service: calc-lookup
    from: attiki
    to: kriti
    limits:
      max_share: 3000
      step: 500
      interval: 30s
      min_headroom: 2000
      max_error_share: 100
      max_p99: 2s
      window:
        start: 2026-03-01T22:00:00Z
        end: "2026-03-02T02:00:00+02:00"
`

const completeJSON = `{
	"services": [{"name": "calc-lookup", "idempotent": true, "priority": "interactive",
		"timeout": "2s", "token_optional": false}],
	"shifts": [{"id": "march", "owner": "platform-team", "class": "rehearsal",
		"service": "calc-lookup", "from": "attiki", "to": "kriti",
		"limits": {"max_share": 3000, "step": 500, "interval": "30s", "min_headroom": 2000,
			"max_error_share": 100, "max_p99": "2s",
			"window": {"start": "2026-03-01T22:00:00Z", "end": "2026-03-02T00:00:00Z"}}}]
}`

func TestParseReadsEveryField(t *testing.T) {
	want := File{
		Services: []catalogue.Service{{
			Name: "calc-lookup", Idempotent: true,
			Priority: catalogue.Interactive, Timeout: catalogue.Duration(2 * time.Second),
		}},
		Shifts: []change.Entry{{
			ID: "march", Owner: "platform-team", Class: catalogue.Rehearsal,
			Service: "calc-lookup", From: "attiki", To: "kriti",
			Limits: catalogue.Limits{
				MaxShare: 3000, Step: 500, Interval: catalogue.Duration(30 * time.Second),
				MinHeadroom: 2000, MaxErrorShare: 100, MaxP99: catalogue.Duration(2 * time.Second),
				Window: catalogue.Window{
					Start: time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC),
					End:   time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC),
				},
			},
		}},
	}
	for name, text := range map[string]string{"yaml": completeYAML, "json": completeJSON} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := Parse([]byte(text), nil)
			is.NoErr(err)
			is.Equal(f, want)
		})
	}
}

// The example on the operators' page must be a valid file.
func TestDocumentedFileIsValid(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/catalogue.md")
	is.NoErr(err)
	_, rest, found := strings.Cut(string(page), "```yaml\n")
	is.True(found)
	sample, _, found := strings.Cut(rest, "```")
	is.True(found)
	f, err := Parse([]byte(sample), nil)
	is.NoErr(err)
	is.Equal(len(f.Services)+len(f.Shifts), 2)
}

// A file with errors in spelling, types and content must have all of them
// reported at once, each with its line and path. A decoder that stops at the
// first error makes an operator run the check once for each.
func TestParseReportsEveryError(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`services:
  - name: 007
    idempotent: maybe
  - name: drawing-vault
    timeout: -3s
  - name: drawing-vault
shifts:
  - id: march
    ownr: platform-team
    class: trial
    service: nothing-known
    from: attiki
    to: attiki
    from: kriti
    limits:
      max_share: 20000
      step: many
      window: {start: tomorrow}
  - id: march
    owner: team
    class: emergency
    from: attiki
`), func(fleet.ServiceName) bool { return false })
	var errs Errors
	is.True(errors.As(err, &errs))
	got := make([]string, len(errs))
	for i, e := range errs {
		got[i], _, _ = strings.Cut(e.Error(), ", ")
	}
	is.Equal(strings.Join(got, "\n"), strings.TrimSpace(`
line 2: services[0].name: must be text
line 3: services[0].idempotent: must be true or false
line 5: services[1].timeout: must be a duration of zero or more
line 6: services[2].name: service "drawing-vault" is listed twice in this file
line 8: shifts[0].owner: must be 1 to 64 characters
line 9: shifts[0].ownr: unknown key; known are class
line 10: shifts[0].class: must be "rehearsal"
line 11: shifts[0].service: no service "nothing-known" in the catalogue
line 13: shifts[0].to: must differ from "from"
line 14: shifts[0].from: duplicate key
line 16: shifts[0].limits.max_share: must be stated
line 17: shifts[0].limits.step: must be a whole number of 1/10000
line 18: shifts[0].limits.window.start: must be a time such as 2026-03-01T22:00:00Z
line 19: shifts[1].id: shift "march" is listed twice in this file
line 19: shifts[1].limits.max_share: must be stated`))
}

func TestParseRejectsInvalidFiles(t *testing.T) {
	for name, text := range map[string]string{
		"empty":     "",
		"comment":   "# nothing\n",
		"scalar":    "march",
		"list":      "- march",
		"documents": "services: []\n---\nservices: []\n",
		"syntax":    "services: [",
		"alias":     "services: &a []\nshifts: *a\n",
		"merge":     "services:\n  - <<: {name: a}\n",
		"depth":     strings.Repeat("[", 100000),
		"indent":    strings.Repeat("- ", 100000),
		"size":      strings.Repeat("#", MaxSize+1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(text), nil)
			var errs Errors
			is.True(errors.As(err, &errs))
			is.True(len(errs) > 0)
		})
	}
}

// FuzzParse checks three properties of Parse: it returns, an error is never
// empty, and a file that passes meets the rules of the catalogue.
func FuzzParse(f *testing.F) {
	f.Add([]byte(completeYAML))
	f.Add([]byte(completeJSON))
	seeds, err := filepath.Glob("testdata/seeds/*")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Parse(data, nil)
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("error without content: %v", err)
			}
			return
		}
		for _, e := range got.Shifts {
			if bad := change.CheckEntry(e, func(fleet.ServiceName) bool { return true }); len(bad) > 0 {
				t.Fatalf("accepted %+v: %v", e, bad)
			}
		}
	})
}
