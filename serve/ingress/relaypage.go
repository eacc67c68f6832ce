package ingress

import (
	"sync"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/peer"
)

const (
	// relayPageBytes limits the keys and values of one message of a relay; a larger
	// value gets a message of its own. A copy of some thousand keys exceeds the
	// maximum size of a message between entry VMs.
	relayPageBytes = 256 << 10
	// maxRelayBytes limits a relay that is assembled from pages.
	maxRelayBytes = 32 << 20
)

// sendRelay sends r to another entry VM.
func (s *Server) sendRelay(r relay, to fleet.VMID) {
	for _, page := range r.split() {
		b, err := peer.Encode(kindRelay, page)
		if err != nil {
			s.relayFailed(r.at(), err)
			return
		}
		s.sendBody(s.peerOf(to), b)
	}
}

func (s *Server) relayFailed(at mirror.Position, err error) {
	s.event(eventRelay).WithError(err).WithField("revision", at.Revision).Error("copy of the store cannot be relayed")
}

// split divides r into pages.
func (r *relay) split() []*relay {
	var pages []*relay
	changes, retained := r.Changes, r.Retained
	for {
		n := fittingItems(len(changes), relayPageBytes, func(i int) int { return itemBytes(&changes[i].Item) })
		page := *r
		page.Changes, page.Retained = changes[:n], nil
		changes = changes[n:]
		if len(changes) == 0 {
			n = fittingItems(len(retained), relayPageBytes-page.bytes(), func(i int) int { return itemBytes(&retained[i].Item) })
			page.Retained, retained = retained[:n], retained[n:]
		}
		page.Page, page.More = len(pages), len(changes)+len(retained) > 0
		pages = append(pages, &page)
		if !page.More {
			return pages
		}
	}
}

// fittingItems returns how many of n items fit into so many bytes, at least one.
func fittingItems(n, limit int, size func(i int) int) int {
	for i, bytes := 0, 0; i < n; i++ {
		bytes += size(i)
		if i > 0 && bytes > limit {
			return i
		}
	}
	return n
}

// bytes returns the size of r's keys and values.
func (r *relay) bytes() int {
	n := 0
	for i := range r.Changes {
		n += itemBytes(&r.Changes[i].Item)
	}
	for i := range r.Retained {
		n += itemBytes(&r.Retained[i].Item)
	}
	return n
}

func itemBytes(it *mirror.Item) int { return len(it.Key) + len(it.Value) }

// relayAssembler assembles relays from pages. Pages of one sender arrive in
// order, but the sender drops the oldest messages queued for a slow receiver. A
// relay that lacks a page is dropped as a whole, and requested again.
type relayAssembler struct {
	mu   sync.Mutex
	from map[fleet.VMID]*partialRelay
}

type partialRelay struct {
	relay
	size int // bytes of its keys and values
}

// add adds a page. With the last page it returns the complete relay and true.
func (p *relayAssembler) add(from fleet.VMID, page *relay) (*relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if page.Page == 0 && !page.More {
		return page, true
	}
	if p.from == nil {
		p.from = make(map[fleet.VMID]*partialRelay)
	}
	part := p.from[from]
	switch {
	case page.Page == 0:
		part = &partialRelay{relay: *page}
		part.Changes, part.Retained = nil, nil
		p.from[from] = part
	case part == nil || page.Page != part.Page+1 || page.at() != part.at():
		delete(p.from, from)
		return nil, false
	}
	part.Page = page.Page
	part.Changes = append(part.Changes, page.Changes...)
	part.Retained = append(part.Retained, page.Retained...)
	part.size += page.bytes()
	if page.More && part.size <= maxRelayBytes {
		return nil, false
	}
	delete(p.from, from)
	return &part.relay, !page.More
}
