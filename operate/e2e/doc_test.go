package e2e

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// statusNames maps the constants used for answers to their statuses.
var statusNames = map[string]int{
	"StatusBadRequest":            http.StatusBadRequest,
	"StatusUnauthorized":          http.StatusUnauthorized,
	"StatusForbidden":             http.StatusForbidden,
	"StatusTooManyRequests":       http.StatusTooManyRequests,
	"StatusNotFound":              http.StatusNotFound,
	"StatusConflict":              http.StatusConflict,
	"StatusGone":                  http.StatusGone,
	"StatusRequestEntityTooLarge": http.StatusRequestEntityTooLarge,
	"StatusPreconditionRequired":  http.StatusPreconditionRequired,
	"StatusInternalServerError":   http.StatusInternalServerError,
	"StatusBadGateway":            http.StatusBadGateway,
	"StatusServiceUnavailable":    http.StatusServiceUnavailable,
	"StatusGatewayTimeout":        http.StatusGatewayTimeout,
}

// The reasons and statuses in docs/API.md, which is edited by hand, must be those
// of the code, so that callers handle every reason that occurs.
func TestReasonsArePublished(t *testing.T) {
	is := is.New(t)
	names := reasonNames(t)
	delete(names, "ReasonNone")
	delete(names, "ReasonCallerGone") // never sent, as the caller is gone
	want := make(map[string]int)
	for constant, status := range reasonStatuses(t) {
		want[names[constant]] = status
		delete(names, constant)
	}
	is.Equal(len(names), 0) // every reason has a status
	is.Equal(documentedReasons(t), want)
}

func parseFile(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// reasonNames returns the names of the reasons on the wire by their constants.
func reasonNames(t *testing.T) map[string]string {
	names := make(map[string]string)
	ast.Inspect(parseFile(t, "../../decide/verdict/verdict.go"), func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 || !strings.HasPrefix(v.Names[0].Name, "Reason") {
			return true
		}
		if lit, ok := v.Values[0].(*ast.BasicLit); ok {
			names[v.Names[0].Name], _ = strconv.Unquote(lit.Value)
		}
		return true
	})
	return names
}

// reasonStatuses returns the status of each reason that is sent to callers.
func reasonStatuses(t *testing.T) map[string]int {
	statuses := make(map[string]int)
	ast.Inspect(parseFile(t, "../../serve/daemon/answer.go"), func(n ast.Node) bool {
		kv, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		key, ok := kv.Key.(*ast.SelectorExpr)
		if !ok || !strings.HasPrefix(key.Sel.Name, "Reason") {
			return true
		}
		status := kv.Value.(*ast.CompositeLit).Elts[0].(*ast.SelectorExpr).Sel.Name
		code, known := statusNames[status]
		if !known {
			t.Errorf("unknown status %s", status)
		}
		statuses[key.Sel.Name] = code
		return true
	})
	return statuses
}

var reasonRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| ([a-z, -]+) \\|")

// documentedReasons parses the table of reasons in docs/API.md.
func documentedReasons(t *testing.T) map[string]int {
	b, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(b), "<!-- reasons: begin")
	table, _, _ = strings.Cut(table, "<!-- reasons: end -->")
	rows := make(map[string]int)
	for _, m := range reasonRow.FindAllStringSubmatch(table, -1) {
		rows[m[1]], _ = strconv.Atoi(m[2])
		for _, v := range strings.Split(m[3], ", ") {
			if v != "ran" && v != "not-run" && v != "may-have-run" {
				t.Errorf("%s: no such verdict %q", m[1], v)
			}
		}
	}
	return rows
}

// The metrics documented in docs/operators/running.md, which is edited by hand,
// must be those that an entry VM publishes.
func TestMetricsArePublished(t *testing.T) {
	sys := newTestSystem(t, testServices())
	e := sys.startEntryVM("a", "attiki-1")
	var vars map[string]any
	readMetrics(t, e, &vars)
	b, err := os.ReadFile("../../docs/operators/running.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(b), "<!-- metrics: begin")
	table, _, _ = strings.Cut(table, "<!-- metrics: end -->")
	published := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_-]+)` \\|").FindAllStringSubmatch(table, -1) {
		published[m[1]] = true
		if _, ok := vars[m[1]]; !ok {
			t.Errorf("metric %s is documented but not published", m[1])
		}
	}
	for name := range vars {
		if !published[name] {
			t.Errorf("metric %s is published but not documented", name)
		}
	}
}
