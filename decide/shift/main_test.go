package shift

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes the randomised runs of CI repeatable. Long runs give
// -rapid.seed and -rapid.checks themselves.
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
