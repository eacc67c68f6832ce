package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/verdict"
	api "github.com/azurethread/azurethread/serve/platform"
	"github.com/azurethread/azurethread/standin/platform"
	"github.com/azurethread/azurethread/standin/target"
)

// An entry VM that starts during an outage of the platform must refuse requests
// with "not-run" and start to serve once the platform is back. An outage after
// that must not affect callers.
func TestPlatformDownAtStart(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	sys.startTarget("attiki-1", target.Options{Service: calc, ID: "t1", Slots: 3})
	is.NoErr(sys.platform.SetOutage(platform.Refusing))
	e := sys.startEntryVMNoWait("a", "attiki-1")
	ready := get(t, "http://"+e.CallAddr()+"/v1/ready")
	is.Equal(ready.status, http.StatusServiceUnavailable)
	for _, path := range []string{"/v1/call/" + calc + "/x", "/v1/lookup?service=" + calc} {
		a := get(t, "http://"+e.CallAddr()+path)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.verdict(), "not-run")
		is.Equal(a.reason(), "not-ready")
	}
	is.NoErr(sys.platform.SetOutage(platform.Up))
	waitFor(t, e.Ready)
	waitFor(t, func() bool { return call(t, e, "GET", calc, "/x", nil, nil).status == http.StatusOK })

	// With a configuration, an outage does not affect callers.
	is.NoErr(sys.platform.SetOutage(platform.Hanging))
	for range 20 {
		is.Equal(call(t, e, "GET", calc, "/x", nil, nil).status, http.StatusOK)
	}
	is.Equal(lookup(t, e, calc, 0).Revision, uint64(1))
	is.NoErr(sys.platform.SetOutage(platform.Up))
}

// listOnly is a platform with a working machine list and a key-value service
// that is unavailable.
type listOnly struct{ *platform.View }

var errOut = &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect}

func (listOnly) Get(context.Context, string) (api.Entry, error)    { return api.Entry{}, errOut }
func (listOnly) List(context.Context, string) ([]api.Entry, error) { return nil, errOut }
func (listOnly) Watch(context.Context, string, uint64, time.Duration) (api.Entry, error) {
	return api.Entry{}, errOut
}
func (listOnly) CompareAndSwap(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, errOut
}

// An entry VM that starts while the key-value service is unavailable, for
// example as a replacement, must obtain the configuration from a neighbour.
func TestJoinerFetchesConfigurationFromNeighbour(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	sys.startTarget("attiki-1", target.Options{Service: calc, ID: "t1", Slots: 3})
	a := sys.startEntryVM("a", "attiki-1")
	sys.store = listOnly{sys.platform.Store()}
	b := sys.startEntryVM("b", "attiki-1") // waits until it has a configuration
	waitFor(t, func() bool { return a.KnownVMs() == 2 && b.KnownVMs() == 2 })
	is.Equal(lookup(t, b, calc, 0).Revision, uint64(1))
	waitFor(t, func() bool { return call(t, b, "GET", calc, "/x", nil, nil).status == http.StatusOK })
}

// A region without targets, for example a drained one, still receives requests,
// because callers cache look-ups. Its entry VM must forward them to another
// region with capacity, and forwarded requests must not run twice.
func TestRegionsForward(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, []catalogue.Service{
		{Name: calc, Idempotent: true, Priority: catalogue.Interactive},
		{Name: fee, Priority: catalogue.Interactive},
	})
	kriti := sys.startTarget("kriti-1", target.Options{Service: calc, ID: "k1", Slots: 16})
	fees := sys.startTarget("kriti-1", target.Options{Service: fee, ID: "k2", Slots: 16})
	a := sys.startEntryVM("a", "attiki-1")
	k := sys.startEntryVM("k", "kriti-1")
	waitFor(t, func() bool { return a.KnownVMs() == 2 && k.KnownVMs() == 2 })
	waitFor(t, func() bool { return call(t, a, "GET", calc, "/x", nil, nil).status == http.StatusOK })
	var wg sync.WaitGroup
	var answered atomic.Int64
	for c := range 8 {
		wg.Go(func() {
			for i := range 10 {
				id := fmt.Sprintf("f%d-%d", c, i)
				if got := callFee(t, a, id); got.status == http.StatusOK {
					answered.Add(1)
				} else if got.verdict() != "not-run" {
					t.Errorf("request %s: %d %s", id, got.status, got.body)
				}
			}
		})
	}
	wg.Wait()
	is.True(answered.Load() > 0)
	is.True(kriti.Stats().Completed > 0)
	is.True(metric(t, a, "forwarded") > 0)
	ran := fees.Executions()
	is.Equal(int64(len(ran)), answered.Load())
	for id, n := range ran {
		if n != 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}
