package settings

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

var update = flag.Bool("update", false, "write the table of docs/CONFIGURATION.md")

// required are the flags without a default that must be set.
var required = []string{
	"--id=a", "--region=attiki", "--domain=attiki-1",
	"--platform-url=http://127.0.0.1:8500", "--fleet-key=a key for tests only, not a secret",
}

func load(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	f := Flags()
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	return Load(f)
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := load(t, required...)
	is.NoErr(err)
	is.Equal(s.CallAddr, "127.0.0.1:7100")
	is.Equal(string(s.Site), "attiki-1") // the domain's name
	is.Equal(s.MaxBodyBytes, 16<<20)
	is.Equal(s.StopTimeout, 30*time.Second)
	is.Equal(s.TraceSample, 0.01)
}

// A flag takes precedence over its environment variable, and the variable over
// the default.
func TestPrecedence(t *testing.T) {
	is := is.New(t)
	t.Setenv("AZURETHREAD_IDLE_TIMEOUT", "7s")
	t.Setenv("AZURETHREAD_SITE", "rack-1")
	t.Setenv("AZURETHREAD_LOG_LEVEL", "")
	s, err := load(t, append(required, "--site=rack-2")...)
	is.NoErr(err)
	is.Equal(s.IdleTimeout, 7*time.Second)
	is.Equal(string(s.Site), "rack-2")
	is.Equal(s.LogLevel, "info") // an empty variable is ignored
}

// Guards against a documented setting without effect, because no code reads its
// flag or the value is stored in another setting's field.
func TestEverySettingIsRead(t *testing.T) {
	is := is.New(t)
	base, err := load(t, required...)
	is.NoErr(err)
	values := map[string]string{
		keyPlatformURL: "https://127.0.0.1:1", keyFleetKey: strings.Repeat("k", MinFleetKey),
		keyLogLevel: "debug", keyTraceExporter: "stdout", keyTraceSample: "0.5",
		keyPolicy: "random", keyOperators: "ana=" + strings.Repeat("ab", 32), keyLeaveDelay: "1s",
		keySeeds: "vm-2@attiki/attiki-1=127.0.0.1:9999", keyBlocksFile: "settings_test.go",
	}
	used := make(map[string]string)
	Flags().VisitAll(func(f *pflag.Flag) {
		v, ok := values[f.Name]
		if !ok {
			v = sample(f)
		}
		s, err := load(t, append(append([]string{}, required...), "--"+f.Name+"="+v)...)
		if err != nil {
			t.Errorf("--%s=%s: %v", f.Name, v, err)
			return
		}
		field := changedFields(base, s)
		if field == "" || used[field] != "" {
			t.Errorf("--%s=%s changes the field %q, which is also that of %q", f.Name, v, field, used[field])
		}
		used[field] = f.Name
	})
	is.Equal(len(used), reflect.TypeFor[Settings]().NumField())
}

// sample returns a valid value that differs from the default.
func sample(f *pflag.Flag) string {
	switch {
	case strings.Contains(f.Usage, "host:port"):
		return "127.0.0.1:9999"
	case f.Value.Type() == "duration":
		return "3m1s"
	case f.Value.Type() == "string":
		return "other"
	}
	return "12345"
}

// changedFields returns the names of the fields in which two settings differ.
func changedFields(a, b *Settings) string {
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	var fields []string
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			fields = append(fields, va.Type().Field(i).Name)
		}
	}
	if len(fields) == 2 && fields[0] == "Domain" && fields[1] == "Site" {
		return "Domain" // the site defaults to the domain's name
	}
	return strings.Join(fields, ",")
}

// The usage text of every number must name its unit.
func TestNumbersNameTheirUnit(t *testing.T) {
	unit := regexp.MustCompile(`bytes|threads|seed|share`)
	Flags().VisitAll(func(f *pflag.Flag) {
		switch f.Value.Type() {
		case "string", "duration": // durations carry their unit
		default:
			if !unit.MatchString(f.Usage) {
				t.Errorf("--%s: no unit in %q", f.Name, f.Usage)
			}
		}
	})
}

// The page and the markers around the table that TestPageMatchesFlags writes.
const (
	configurationPage = "../../docs/CONFIGURATION.md"
	tableBegin        = "<!-- settings: begin, written by go test ./serve/settings -update -->\n"
	tableEnd          = "<!-- settings: end -->"
)

// Guards against a page that no longer describes the program's settings after a
// flag was added or changed. Run with -update to write its table.
func TestPageMatchesFlags(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile(configurationPage)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(b), tableBegin)
	is.True(ok)
	have, after, ok := strings.Cut(rest, tableEnd)
	is.True(ok)
	want := table()
	if *update {
		is.NoErr(os.WriteFile(configurationPage, []byte(before+tableBegin+want+tableEnd+after), 0o644))
		return
	}
	is.Equal(have, want) // run go test ./serve/settings -update
}

// table returns the Markdown table of all settings.
func table() string {
	var b strings.Builder
	b.WriteString("| flag | variable | type | default | meaning |\n|---|---|---|---|---|\n")
	Flags().VisitAll(func(f *pflag.Flag) {
		def := f.DefValue
		if def != "" {
			def = "`" + def + "`"
		}
		env := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", f.Name, env, f.Value.Type(), def, f.Usage)
	})
	return b.String()
}
