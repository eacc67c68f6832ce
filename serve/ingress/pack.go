package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/pack"
	"github.com/azurethread/azurethread/serve/peer"
)

// packedCopies caches the last compressed copy: after a restart of a whole
// region, every follower requests the same one.
type packedCopies struct {
	mu     sync.Mutex
	asOf   mirror.Revision
	pages  [][]byte
	expiry *time.Timer
}

// packedCopyTTL is how long a compressed copy is kept after the last request for
// it.
const packedCopyTTL = 5 * time.Second

// pagesOf returns the compressed pages of a copy that is complete up to asOf. If
// they are not cached, full provides a copy at least as new. Pages newer than
// asOf do no harm: the receiver's next request only returns the same changes
// again.
func (p *packedCopies) pagesOf(asOf mirror.Revision, full func() relay) ([][]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pages == nil || p.asOf != asOf {
		r := full()
		pages, err := packPages(&r)
		if err != nil {
			return nil, err
		}
		p.asOf, p.pages = r.AsOf, pages
	}
	if p.expiry == nil {
		p.expiry = time.AfterFunc(packedCopyTTL, p.evict)
	}
	p.expiry.Reset(packedCopyTTL)
	return p.pages, nil
}

func (p *packedCopies) evict() {
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
	return pack.Compress(pack.Fast, pages...)
}

// unpackPage decompresses a page. It rejects pages larger than any that is sent.
func unpackPage(packed []byte) ([]mirror.Change, error) {
	data, err := pack.Decompress(packed, peer.MaxBody)
	if err != nil {
		return nil, fmt.Errorf("ingress: %w", err)
	}
	var items copyItems
	if err := peer.Decode(peer.Body{Kind: kindCopy, Data: data}, peer.MaxBody, &items); err != nil {
		return nil, err
	}
	return items.Changes, nil
}
