package ingress

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/hedge"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/serve/peer"
)

// Guards against a second send that no message, counter or log line carries from its
// decision to the operators: one of the two VMs has to ask the other for the target.
func TestSecondSendsOfTwoVMs(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	lines := new(logBuffer)
	w.log, w.hedge = lines, hedge.Policy{Limit: hedge.MaxLimit}
	var seen sync.Map
	for _, id := range []string{"t1", "t2"} {
		w.startTarget(id, func(rw http.ResponseWriter, r *http.Request) {
			name := r.Header.Get("X-Id")
			_, again := seen.LoadOrStore(name, true)
			if strings.Contains(name, "slow") && !again {
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			respondOK("done")(rw, r)
		})
	}
	vms := []*Server{w.startListed("vm-1"), w.startListed("vm-2")}
	w.eventually("the VMs know each other", func() bool {
		return len(vms[0].members.Load().vms) == 2 && len(vms[1].members.Load().vms) == 2
	})
	for i, s := range vms {
		logged := func() bool {
			return slices.ContainsFunc(strings.Split(lines.String(), "\n"), func(line string) bool {
				return strings.Contains(line, `"hedge":true`) && strings.Contains(line, fmt.Sprintf(`"vm":"vm-%d"`, i+1))
			})
		}
		for n := 1; !logged(); n++ { // every sampled line is that of a slow request
			is.True(n <= 20*successSampleInterval)
			name := "quick"
			if n%(successSampleInterval/4) == 0 {
				name = "slow"
			}
			res, _ := doRequest(t, s, http.MethodGet, "/", fmt.Sprint(name, i, "-", n))
			is.Equal(res.StatusCode, http.StatusOK)
		}
		counts := s.hedges()["svc"]
		t.Logf("vm-%d: %+v", i+1, counts)
		is.True(counts.Won > 0)
		is.True(strings.Contains(s.metrics.vars.String(), fmt.Sprintf(`"hedges": {"svc":{"sent":%d,`, counts.Sent)))
	}
}

// Guards against a field that is lost between two VMs.
func TestHedgeMessagesAreEncoded(t *testing.T) {
	is := is.New(t)
	sent := ingress.HedgeRequest{First: 7, Account: "a", Within: time.Second,
		Request: ingress.PlacementRequest{ID: 8, Service: "svc", Object: "o", Tried: []fleet.TargetID{"t1"}, TimeLeft: time.Minute}}
	b, err := peer.Encode(kindHedgeRequest, &sent)
	is.NoErr(err)
	var got ingress.HedgeRequest
	is.NoErr(peer.Decode(b, peer.MaxBody, &got))
	got.Request.AllowedRegions, got.Request.Limits = nil, nil
	is.Equal(got, sent)
	is.Equal(b.Kind, peer.Kind(172))
	is.Equal(kindGrantWork, peer.Kind(173))
}
