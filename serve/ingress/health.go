package ingress

import (
	"net/http"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/heads"
	"github.com/azurethread/azurethread/serve/outbound"
)

// storeSilentAfter is the age of the last word of the store from which on the health pages of
// targets are read. A watch without changes is answered after watchTimeout, and the first one
// follows startupPause after the first copy.
const storeSilentAfter = watchTimeout + startupPause + 500*time.Millisecond

// checkHealthWhileSilent has the health pages of targets read while there is no word of the
// store.
func (s *Server) checkHealthWhileSilent() {
	for s.ctx.Err() == nil {
		s.sleep(ingress.HealthCheckInterval)
		if s.copyValid() && s.storeAge() > storeSilentAfter {
			s.core.Post(&ingress.StoreSilent{})
		}
	}
}

// checkHealth reads the health page of a target. A page that does not come is of no interest.
func (s *Server) checkHealth(c ingress.HealthCheck) {
	s.metrics.healthChecks.Add(1)
	f := &s.settings.Fields
	k := s.targetPool.Do(c.Addr, &outbound.Request{
		Method: http.MethodGet, URI: c.Path, Header: http.Header{},
		OwnerOf: func(h outbound.Head) outbound.Ownership {
			if h.Header.Get(f.Instance) == string(c.Target) {
				return outbound.Own
			}
			return outbound.Unnamed
		},
		Receiver:       string(c.Target),
		ConnectTimeout: c.ConnectTimeout,
	}, func(ans *outbound.Answer, err *verdict.Error) {
		if err != nil {
			return
		}
		defer ans.Release()
		cold, ok := heads.ParseMillis(ans.Header.Get(f.Cold))
		if ok && cold > 0 && ans.Header.Get(f.Instance) == string(c.Target) {
			s.core.Post(&ingress.HealthRead{Target: c.Target, StartedAt: c.StartedAt, Cold: cold})
		}
	})
	time.AfterFunc(ingress.HealthCheckInterval, func() { k.Cancel(verdict.ReasonDeadline) })
}
