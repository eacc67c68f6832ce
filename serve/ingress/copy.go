package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/peer"
)

// A VM that has no copy of the store takes a whole one. Copies are compressed:
// uncompressed, one of 3,300 keys has 0.7 MB, and a reader's link of 200 Mbit/s
// takes 1.5 s for those of fifty followers. These wait no longer, but ask others
// and the store as well, which then have more to send: a fleet of 300 VMs served
// its callers 8 s after a restart, and with compressed copies 2 s after it.

// copyRequest asks for a whole copy.
type copyRequest struct {
	// Follow asks a VM that has none yet to answer once it has.
	Follow bool
}

// copyPage is a part of a whole copy; its fields are those of relay.
type copyPage struct {
	AsOf          mirror.Revision
	Age           time.Duration
	StoreReliable bool
	Page          int
	More          bool
	Packed        []byte // a copyItems, compressed
}

// copyItems is what is compressed.
type copyItems struct {
	Changes []mirror.Change
}

// receiveCopyRequest answers another entry VM that has no copy.
func (s *Server) receiveCopyRequest(from fleet.VMID, b peer.Body) error {
	var ask copyRequest
	if err := peer.Decode(b, peer.MaxBody, &ask); err != nil {
		return err
	}
	s.copyMu.Lock()
	valid := s.copy.Valid()
	if !valid && ask.Follow && len(s.awaiting) < maxAwaitingVMs {
		s.awaiting[from] = true
	}
	s.copyMu.Unlock()
	if valid {
		s.sendCopy(from)
	}
	return nil
}

// maxAwaitingVMs bounds the VMs that wait for this one's first copy.
const maxAwaitingVMs = 1024

// sendCopyToAwaiting sends the copy to the VMs that asked before there was one: after
// a restart of a whole region all ask their readers at once.
func (s *Server) sendCopyToAwaiting() {
	s.copyMu.Lock()
	to := slices.Collect(maps.Keys(s.awaiting))
	clear(s.awaiting)
	s.copyMu.Unlock()
	if len(to) > 0 {
		s.sendCopy(to...)
	}
}

// sendCopy sends the whole copy to other entry VMs, packed once for all of them.
func (s *Server) sendCopy(to ...fleet.VMID) {
	s.copyMu.Lock()
	head := s.relayHead()
	s.copyMu.Unlock()
	pages, err := s.packedCopies.pagesOf(head.AsOf, func() relay {
		s.copyMu.Lock()
		defer s.copyMu.Unlock()
		return s.fullRelay()
	})
	if err != nil {
		s.relayFailed(head.AsOf, err)
		return
	}
	for i, data := range pages {
		page := copyPage{AsOf: head.AsOf, Age: head.Age, StoreReliable: head.StoreReliable, Page: i, More: i < len(pages)-1, Packed: data}
		b, err := peer.Encode(kindCopy, &page)
		if err != nil {
			s.relayFailed(head.AsOf, err)
			return
		}
		for _, id := range to {
			s.sendBody(s.peerOf(id), b)
		}
	}
}

// receiveCopyPage takes a part of another entry VM's copy.
func (s *Server) receiveCopyPage(from fleet.VMID, b peer.Body) error {
	var page copyPage
	if err := peer.Decode(b, peer.MaxBody, &page); err != nil {
		return err
	}
	changes, err := unpackPage(page.Packed)
	if err != nil {
		return err
	}
	return s.addRelayPage(from, &relay{
		AsOf: page.AsOf, Full: true, Changes: changes, Age: page.Age, StoreReliable: page.StoreReliable, Page: page.Page, More: page.More,
	})
}
