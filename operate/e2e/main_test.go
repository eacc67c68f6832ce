package e2e

import (
	"io"
	"os"
	"testing"

	"github.com/azurethread/azurethread/serve/logs"
)

// TestMain discards the start and stop messages of nbio, which would otherwise
// split the lines of benchmark output.
func TestMain(m *testing.M) {
	logs.RedirectNbio(logs.New("error", io.Discard))
	os.Exit(m.Run())
}
