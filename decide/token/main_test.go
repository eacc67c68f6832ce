package token

import (
	"flag"
	"os"
	"testing"
)

// Defaults for the randomised tests, so that CI runs are repeatable and take
// seconds. Long runs set -rapid.seed, -rapid.steps and -rapid.checks themselves.
const (
	fixedSeed  = "20261202"
	fixedSteps = "200" // mean number of actions per run
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
