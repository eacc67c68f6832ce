package ingress

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/serve/inbound"
)

// maxLookupAddrs is the maximum number of addresses in the answer to a look-up.
const maxLookupAddrs = 64

// serveReady reports by its status whether this VM accepts requests.
func (s *Server) serveReady(x *inbound.Exchange) {
	status := http.StatusOK
	switch {
	case path(x) != s.settings.Pages.Ready:
		status = http.StatusNotFound
	case !s.acceptsRequests():
		status = http.StatusServiceUnavailable
	}
	x.Respond(status, nil, nil)
}

// acceptsRequests reports whether callers should use this VM.
func (s *Server) acceptsRequests() bool { return s.table.Load() != nil && !s.leaving.Load() }

func path(x *inbound.Exchange) string {
	p, _, _ := strings.Cut(x.URI, "?")
	return p
}

// serveLookup tells a caller which entry VMs to use.
func (s *Server) serveLookup(x *inbound.Exchange) {
	if path(x) != s.settings.Pages.Lookup {
		x.Respond(http.StatusNotFound, nil, nil)
		return
	}
	_, query, _ := strings.Cut(x.URI, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		x.Respond(http.StatusBadRequest, nil, nil)
		return
	}
	l := s.settings.LookupRequest(q)
	body, err := s.members.Load().answer(l, func() ([]byte, error) { return s.lookupAnswer(l) })
	if err != nil {
		s.log.WithError(err).Error("look-up answer cannot be encoded")
		x.Respond(http.StatusInternalServerError, nil, nil)
		return
	}
	if body == nil {
		x.Respond(http.StatusServiceUnavailable, nil, nil)
		return
	}
	x.Respond(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

// minLookupAddrs is the minimum number of entry VMs in an answer if the region
// has as many. Callers keep using an answer for some seconds, even if they get
// no newer one: with a single address, all callers of a failure domain failed
// during that time when its VM ended. VMs of other regions are included only if
// the caller's region has none, because a body may be restricted to its region.
const minLookupAddrs = 2

// lookupAnswer encodes the answer to a look-up, nil if there are no addresses.
func (s *Server) lookupAnswer(l Lookup) ([]byte, error) {
	addrs := s.lookup(l)
	if len(addrs) == 0 {
		return nil, nil
	}
	return s.settings.LookupAnswer(addrs, s.reloadable.Load().lookupTTL)
}

// lookup returns the addresses of the entry VMs that a caller should use.
func (s *Server) lookup(l Lookup) []string {
	var addrs []string
	for _, vm := range nearest(s.members.Load().vms, l) {
		addrs = append(addrs, vm.CallAddr)
	}
	if len(addrs) == 0 && s.acceptsRequests() {
		return []string{s.settings.Self.CallAddr}
	}
	return addrs
}

// nearest returns the entry VMs of the caller's failure domain, plus others of
// its region if these are too few. If the domain has none it returns all of the
// region, and if the region has none, all.
func nearest(vms []fleet.VM, l Lookup) []fleet.VM {
	var at [otherRegion + 1][]fleet.VM
	for _, vm := range vms {
		d := l.distance(vm)
		at[d] = append(at[d], vm)
	}
	result := l.rank(preferStrong(at[sameDomain]))
	switch {
	case len(result) >= minLookupAddrs:
	case len(result) > 0:
		others := l.rank(preferStrong(at[sameRegion]))
		result = append(result, others[:min(len(others), minLookupAddrs-len(result))]...)
	case len(at[sameRegion]) > 0:
		result = l.rank(preferStrong(at[sameRegion]))
	default:
		result = l.rank(preferStrong(at[otherRegion]))
	}
	return result[:min(len(result), maxLookupAddrs)]
}

// minStrongShare is the share of the total CPU of VMs at the same distance that
// the strong ones must have to be returned alone; the load on each of them is
// then up to about three times as high. At 1.3 ms of a core per request,
// including the cost of idle VMs, three VMs with 0.8 of a core are half busy at
// 900 requests per second.
const minStrongShare = 0.3

// preferStrong selects, among VMs at the same distance, those that callers
// should use: the strong ones if they have a sufficient share of the CPU,
// otherwise all. With many small VMs and some strong ones, each target gets
// requests from so many VMs that nine of ten requests open a connection. From
// the strong VMs alone most connections are reused, and no request is processed
// with a sixth of a core.
func preferStrong(vms []fleet.VM) []fleet.VM {
	strong := fleet.Strong(vms)
	if len(strong) >= minLookupAddrs && totalCores(strong) >= minStrongShare*totalCores(vms) {
		return strong
	}
	return vms
}

func totalCores(vms []fleet.VM) float64 {
	sum := 0.0
	for i := range vms {
		sum += vms[i].Cores
	}
	return sum
}

// rank orders VMs at the same distance by the caller's failure domain, so that
// callers of several domains do not all use the same VM.
func (l Lookup) rank(vms []fleet.VM) []fleet.VM {
	return rank.By(string(l.Domain), vms, func(vm fleet.VM) string { return string(vm.ID) })
}

// Distances of an entry VM from a caller.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

func (l Lookup) distance(vm fleet.VM) int {
	switch {
	case vm.Domain == l.Domain:
		return sameDomain
	case vm.Region == l.Region:
		return sameRegion
	default:
		return otherRegion
	}
}
