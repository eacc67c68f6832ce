package decide_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// forbidden lists the packages that allow I/O, concurrency or hidden state.
// net/netip only holds addresses and is not among them.
var forbidden = map[string]bool{
	"crypto/rand":   true,
	"math/rand":     true,
	"net":           true,
	"net/http":      true,
	"os":            true,
	"os/exec":       true,
	"sync":          true,
	"sync/atomic":   true,
	"syscall":       true,
	"log":           true,
	"runtime":       true,
	"path/filepath": true,
}

// forbiddenTime lists the functions of package time that read a clock or wait.
var forbiddenTime = map[string]bool{
	"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true,
	"Sleep": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

// allowedRand lists the functions and types of math/rand/v2 for a seeded
// generator; its other functions draw from a hidden global one.
var allowedRand = map[string]bool{"New": true, "NewPCG": true, "Rand": true, "PCG": true, "Source": true}

// Guards against an import or call by which a decision reads a clock, a file or a
// global generator: the same session would then have other effects in a second
// run, or a golden file would fail on another machine.
func TestDecisionsArePure(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && strings.HasSuffix(e.Name(), "test") {
			return filepath.SkipDir // test harnesses, imported by tests only
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		checkFile(t, path)
		return nil
	})
	is.NoErr(err)
	is.True(files > 50) // otherwise the walk has missed the packages
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, imp := range f.Imports {
		name, err := strconv.Unquote(imp.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if forbidden[name] {
			t.Errorf("%s imports %s", path, name)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", path)
		case *ast.SelectorExpr:
			checkSelector(t, path, n)
		}
		return true
	})
}

func checkSelector(t *testing.T, path string, n *ast.SelectorExpr) {
	t.Helper()
	x, ok := n.X.(*ast.Ident)
	if !ok || x.Obj != nil {
		return // a field or method of a variable
	}
	if x.Name == "time" && forbiddenTime[n.Sel.Name] {
		t.Errorf("%s uses time.%s", path, n.Sel.Name)
	}
	if x.Name == "rand" && !allowedRand[n.Sel.Name] {
		t.Errorf("%s uses rand.%s", path, n.Sel.Name)
	}
}
