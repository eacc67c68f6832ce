package ingress

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
	"github.com/azurethread/azurethread/serve/inbound"
)

// maxLookupAddrs is the largest number of addresses in the answer to a look-up.
const maxLookupAddrs = 64

// serveReady says whether this VM takes requests.
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
		s.log.WithError(err).Error("look-up cannot be answered")
		x.Respond(http.StatusInternalServerError, nil, nil)
		return
	}
	if body == nil {
		x.Respond(http.StatusServiceUnavailable, nil, nil)
		return
	}
	x.Respond(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

// minLookupAddrs is the number of entry VMs that an answer names if the region has
// as many. Callers use an answer for some seconds, also while they get no other
// one: with a single address, all callers of its failure domain failed until
// then when that VM ended. VMs of other regions are named only for want of any
// in the caller's: a body may be bound to its region.
const minLookupAddrs = 2

// lookupAnswer encodes the answer to a look-up; nil if there is none.
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

// nearest returns the entry VMs of the caller's failure domain, with others of
// its region where these are too few; all of the region if the domain has none,
// and all there are if the region has none.
func nearest(vms []fleet.VM, l Lookup) []fleet.VM {
	var at [elsewhere + 1][]fleet.VM
	for _, vm := range vms {
		d := l.distance(vm)
		at[d] = append(at[d], vm)
	}
	named := l.rank(preferStrong(at[sameDomain]))
	switch {
	case len(named) >= minLookupAddrs:
	case len(named) > 0:
		others := l.rank(preferStrong(at[sameRegion]))
		named = append(named, others[:min(len(others), minLookupAddrs-len(named))]...)
	case len(at[sameRegion]) > 0:
		named = l.rank(preferStrong(at[sameRegion]))
	default:
		named = l.rank(preferStrong(at[elsewhere]))
	}
	return named[:min(len(named), maxLookupAddrs)]
}

// minStrongShare is the part of the processor shares of VMs at the same
// distance that the strong ones must hold to be named alone: they then bear
// three times their part of the load. At 1.3 ms of a core for a request, what
// idle VMs take included, three with 0.8 of a core are half busy at 900
// requests a second.
const minStrongShare = 0.3

// preferStrong returns those of VMs at the same distance that callers should use: the
// strong ones where these bear a good part of what all bear, and otherwise all.
// A fleet of many small VMs and some strong ones meets each target from so many
// VMs that nine of ten requests open a connection; from the strong ones alone
// most are kept open, and no request waits for a sixth of a core.
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

// rank orders VMs at the same distance, so that the callers of several failure
// domains don't all turn to the same one.
func (l Lookup) rank(vms []fleet.VM) []fleet.VM {
	return rank.By(string(l.Domain), vms, func(vm fleet.VM) string { return string(vm.ID) })
}

// Distances of an entry VM from a caller.
const (
	sameDomain = iota
	sameRegion
	elsewhere
)

func (l Lookup) distance(vm fleet.VM) int {
	switch {
	case vm.Domain == l.Domain:
		return sameDomain
	case vm.Region == l.Region:
		return sameRegion
	default:
		return elsewhere
	}
}
