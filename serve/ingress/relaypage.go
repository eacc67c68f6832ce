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
			s.relayFailed(r.AsOf, err)
			return
		}
		s.sendBody(s.peerOf(to), b)
	}
}

func (s *Server) relayFailed(asOf mirror.Revision, err error) {
	s.event(eventRelay).WithError(err).WithField("revision", asOf).Error("copy of the store cannot be relayed")
}

// split divides r into pages.
func (r *relay) split() []*relay {
	var pages []*relay
	rest := r.Changes
	for {
		n, size := 0, 0
		for n < len(rest) && (n == 0 || size+changeBytes(&rest[n]) <= relayPageBytes) {
			size += changeBytes(&rest[n])
			n++
		}
		page := *r
		page.Changes, page.Page, page.More = rest[:n], len(pages), n < len(rest)
		pages = append(pages, &page)
		rest = rest[n:]
		if len(rest) == 0 {
			return pages
		}
	}
}

func changeBytes(c *mirror.Change) int { return len(c.Key) + len(c.Value) }

// relayAssembler assembles relays from pages. Pages of one sender arrive in
// order, but the sender drops the oldest messages queued for a slow receiver. A
// relay that lacks a page is dropped as a whole, and requested again.
type relayAssembler struct {
	mu   sync.Mutex
	from map[fleet.VMID]*partialRelay
}

type partialRelay struct {
	relay
	bytes int
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
		part.Changes = nil
		p.from[from] = part
	case part == nil || page.Page != part.Page+1 || page.AsOf != part.AsOf:
		delete(p.from, from)
		return nil, false
	}
	part.Page = page.Page
	part.Changes = append(part.Changes, page.Changes...)
	for i := range page.Changes {
		part.bytes += changeBytes(&page.Changes[i])
	}
	if page.More && part.bytes <= maxRelayBytes {
		return nil, false
	}
	delete(p.from, from)
	return &part.relay, !page.More
}
