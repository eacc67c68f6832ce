package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/ingress"
)

// Guards against requests beyond what a cold target bears: it becomes cold while the store is
// silent. While the store answers, no page is read.
func TestHealthPagesAreReadWhileTheStoreIsSilent(t *testing.T) {
	is := is.New(t)
	w := &testEnv{t: t, store: newTestEnv(t).store, log: t.Output(), translate: testTranslator{}, healthPath: "/health"}
	w.writeConfig(2, catchAllRoute(true))
	var read atomic.Int64
	var cold atomic.Bool
	w.startTarget("t1", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			respondOK("body")(rw, r)
			return
		}
		read.Add(1)
		rw.Header().Set(testFields.Instance, "t1")
		if cold.Load() {
			rw.Header().Set(testFields.Cold, "3000")
		}
	})
	client := w.store.NewClient()
	s := w.startListedWith("vm-1", client)
	time.Sleep(storeSilentAfter + ingress.HealthCheckInterval)
	is.Equal(read.Load(), int64(0))
	client.Refuse(true)
	w.eventually("the page is read", func() bool { return read.Load() >= 3 })
	is.Equal(s.serviceStatus().Cold, 0)
	cold.Store(true)
	w.eventually("the target is known to be cold", func() bool { return s.serviceStatus().Cold == 1 })
	is.True(s.metrics.healthChecks.Value() >= 4)
	is.Equal(s.targetPool.Connections(w.addrOf("t1")), 1) // the page is read on one connection
	client.Refuse(false)
	w.eventually("the store is read", func() bool { return s.storeAge() < time.Second })
	time.Sleep(2 * ingress.HealthCheckInterval)
	before := read.Load()
	time.Sleep(2 * ingress.HealthCheckInterval)
	is.Equal(read.Load(), before)
}
