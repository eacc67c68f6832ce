package e2e

import (
	"io"
	"os"
	"testing"

	"github.com/azurethread/azurethread/serve/logs"
)

// TestMain keeps nbio's start and stop messages out of the tests' output,
// where they would break benchmark lines apart.
func TestMain(m *testing.M) {
	logs.TakeNetwork(logs.New("error", io.Discard))
	os.Exit(m.Run())
}
