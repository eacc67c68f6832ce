package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/operate/command"
)

// testPattern is one region with one service, for three seconds.
const testPattern = `{"name": "tiny", "seconds": 3,
 "network": {"caller_ms": 1, "domain_ms": 0.2, "region_ms": 1, "far_ms": 50},
 "domains": [{"name": "a1", "region": "a", "vms": 2, "per_second": 100, "targets": {"s": 3}}],
 "services": [{"name": "s", "slots": 4, "queue": 8, "remember": 50}],
 "kinds": [{"name": "k", "service": "s", "share": 1, "idempotent": true, "aim_ms": 300, "patience_ms": 1000,
  "work_ms": 100, "warm_gain": 0.7, "objects": 20, "retries": 1, "worth": 1, "late_worth": 0.2}]}`

// execute runs the command and returns its output.
func execute(args ...string) (string, error) {
	var b bytes.Buffer
	root := command.New("test", Command())
	root.SetOut(&b)
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(append([]string{"experiment"}, args...))
	err := root.Execute()
	return b.String(), err
}

func writePattern(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "pattern.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestTableAndFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	out, err := execute(
		writePattern(t, testPattern), "--seeds", "2", "--without", "recall,headroom",
		"--json", filepath.Join(dir, "r.json"), "--svg", filepath.Join(dir, "r.svg"))
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4) // a header and three variants
	is.True(strings.Contains(lines[2], "without recall"))
	raw, err := os.ReadFile(filepath.Join(dir, "r.json"))
	is.NoErr(err)
	var outcomes []outcome
	is.NoErr(json.Unmarshal(raw, &outcomes))
	is.Equal(len(outcomes), 3)
	is.Equal(len(outcomes[0].Plays), 2)
	svg, err := os.ReadFile(filepath.Join(dir, "r.svg"))
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("<svg")))
}

// A misspelt mechanism, zero seeds, an unknown field of a pattern or a missing
// file must be reported. If they were ignored, a long experiment would run with
// settings that were not intended.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"mechanism": {[]string{writePattern(t, testPattern), "--without", "recal"}, "recal"},
		"seeds":     {[]string{writePattern(t, testPattern), "--seeds", "0"}, "--seeds"},
		"field":     {[]string{writePattern(t, strings.Replace(testPattern, `"seconds"`, `"secs"`, 1))}, "secs"},
		"file":      {[]string{filepath.Join(t.TempDir(), "none.json")}, "none.json"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := execute(c.args...)
			is.Equal(command.ExitCode(err), command.ExitUsage)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
