package shift

import (
	"flag"
	"os"
	"testing"
)

// The randomised runs of CI are repeatable and take seconds. Long runs give
// -rapid.seed, -rapid.steps and -rapid.checks themselves.
const (
	fixedSeed  = "20261202"
	fixedSteps = "200" // actions a run, on average
)

func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", fixedSeed)
	setUnlessGiven("rapid.steps", fixedSteps)
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
