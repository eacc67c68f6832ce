package ingress

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/inbound"
)

// maxLookup is the largest number of addresses in the answer to a look-up.
const maxLookup = 64

// serveReady says whether this VM takes requests.
func (s *Server) serveReady(x *inbound.Exchange) {
	status := http.StatusOK
	switch {
	case path(x) != s.set.Pages.Ready:
		status = http.StatusNotFound
	case !s.takesRequests():
		status = http.StatusServiceUnavailable
	}
	x.Respond(status, nil, nil)
}

// takesRequests reports whether callers should use this VM.
func (s *Server) takesRequests() bool { return s.configured.Load() && !s.leaving.Load() }

func path(x *inbound.Exchange) string {
	p, _, _ := strings.Cut(x.URI, "?")
	return p
}

// serveLookup tells a caller which entry VMs to use.
func (s *Server) serveLookup(x *inbound.Exchange) {
	if path(x) != s.set.Pages.Lookup {
		x.Respond(http.StatusNotFound, nil, nil)
		return
	}
	_, query, _ := strings.Cut(x.URI, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		x.Respond(http.StatusBadRequest, nil, nil)
		return
	}
	addrs := s.lookup(s.set.LookupRequest(q))
	if len(addrs) == 0 {
		x.Respond(http.StatusServiceUnavailable, nil, nil)
		return
	}
	body, err := s.set.LookupAnswer(addrs, s.set.LookupTTL)
	if err != nil {
		s.log.WithError(err).Error("look-up cannot be answered")
		x.Respond(http.StatusInternalServerError, nil, nil)
		return
	}
	x.Respond(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

// lookup returns the addresses of the entry VMs nearest to the caller: those of
// its failure domain, or else of its region, or else all.
func (s *Server) lookup(l Lookup) []string {
	vms := *s.members.Load()
	near := func(keep func(fleet.VM) bool) []string {
		var addrs []string
		for _, vm := range vms {
			if keep(vm) && len(addrs) < maxLookup {
				addrs = append(addrs, vm.CallAddr)
			}
		}
		return addrs
	}
	for _, keep := range []func(fleet.VM) bool{
		func(vm fleet.VM) bool { return vm.Domain == l.Domain },
		func(vm fleet.VM) bool { return vm.Region == l.Region },
		func(fleet.VM) bool { return true },
	} {
		if addrs := near(keep); len(addrs) > 0 {
			return addrs
		}
	}
	if s.takesRequests() {
		return []string{s.set.Self.CallAddr}
	}
	return nil
}

// setMembers takes the list of entry VMs.
func (s *Server) setMembers(vms []fleet.VM) {
	vms = slices.DeleteFunc(vms, func(vm fleet.VM) bool {
		return vm.ID == s.set.Self.ID && s.leaving.Load()
	})
	s.members.Store(&vms)
}
