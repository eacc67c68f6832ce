package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/pack"
	"github.com/azurethread/azurethread/serve/peer"
)

// packedCopies keeps the last copy that was packed: after a restart of a whole
// region every follower asks for the same one.
type packedCopies struct {
	mu     sync.Mutex
	asOf   mirror.Revision
	pages  [][]byte
	expiry *time.Timer
}

// packedCopyTTL is how long a packed copy is kept after it was asked for.
const packedCopyTTL = 5 * time.Second

// pagesOf returns the packed pages of a copy that is complete up to asOf; whole
// returns one at least as new. A page that is newer than asOf does no harm: what
// its receiver asks for next says the same once more.
func (p *packedCopies) pagesOf(asOf mirror.Revision, whole func() relay) ([][]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pages == nil || p.asOf != asOf {
		r := whole()
		pages, err := packPages(&r)
		if err != nil {
			return nil, err
		}
		p.asOf, p.pages = r.AsOf, pages
	}
	if p.expiry == nil {
		p.expiry = time.AfterFunc(packedCopyTTL, p.clear)
	}
	p.expiry.Reset(packedCopyTTL)
	return p.pages, nil
}

func (p *packedCopies) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pages = nil
}

func packPages(r *relay) ([][]byte, error) {
	var pages [][]byte
	for _, page := range r.split() {
		b, err := peer.Encode(kindCopy, &copyItems{Changes: page.Changes})
		if err != nil {
			return nil, err
		}
		pages = append(pages, b.Data)
	}
	return pack.All(pack.Fast, pages...)
}

// unpackPage refuses pages that are larger than any that is sent.
func unpackPage(packed []byte) ([]mirror.Change, error) {
	data, err := pack.Open(packed, peer.MaxBody)
	if err != nil {
		return nil, fmt.Errorf("ingress: %w", err)
	}
	var items copyItems
	if err := peer.Decode(peer.Body{Kind: kindCopy, Data: data}, peer.MaxBody, &items); err != nil {
		return nil, err
	}
	return items.Changes, nil
}
