package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/serve/platform"
)

// countedReads is a store without a document that counts its reads.
type countedReads struct {
	platform.Store
	n atomic.Int64
}

// Get implements platform.Store.
func (s *countedReads) Get(context.Context, string) (platform.Entry, error) {
	s.n.Add(1)
	return platform.Entry{}, platform.ErrNotFound
}

// Guards against a stopped daemon that panics for misuse of its wait group or
// leaves a read behind: a step that asks for a read ends while the daemon
// stops, and the reader started it after its Close had waited for the last one.
func TestPerformAfterClose(t *testing.T) {
	is := is.New(t)
	s := &countedReads{}
	r := NewReader(ReaderOptions{
		Store: s,
		Now:   func() clock.Time { return 1 },
		Emit:  func(*config.PlatformRead) {},
	})
	r.Close()
	r.Perform(&config.Ready{Fetch: []config.FetchPlatform{{Seq: 1}}, Watch: []config.WatchPlatform{{Seq: 2}}})
	r.wg.Wait()
	is.Equal(s.n.Load(), int64(0))
	is.Equal(len(r.watches), 0)
}

// Watch implements platform.Store.
func (s *countedReads) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (platform.Entry, error) {
	return s.Get(ctx, key)
}
