package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that CI runs the same cases each time, and
// keeps rapid from writing files.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
