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
	latest packedCopy
	expiry *time.Timer
}

// packedCopy is a compressed copy of the store.
type packedCopy struct {
	of    copyVersion
	base  mirror.Revision // see mirror.State
	pages [][]byte
}

// copyVersion identifies the content of a copy.
type copyVersion struct {
	at              mirror.Position
	retainedChanges uint64
}

// packedCopyTTL is how long a compressed copy is kept after the last request for
// it.
const packedCopyTTL = 5 * time.Second

// get returns a compressed copy of the given version, or of the later one that full
// provides if it is not cached.
func (p *packedCopies) get(v copyVersion, full func() (relay, copyVersion)) (packedCopy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latest.pages == nil || p.latest.of != v {
		r, of := full()
		pages, err := packPages(&r)
		if err != nil {
			return packedCopy{}, err
		}
		p.latest = packedCopy{of: of, base: r.Base, pages: pages}
	}
	if p.expiry == nil {
		p.expiry = time.AfterFunc(packedCopyTTL, p.evict)
	}
	p.expiry.Reset(packedCopyTTL)
	return p.latest, nil
}

func (p *packedCopies) evict() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = packedCopy{}
}

func packPages(r *relay) ([][]byte, error) {
	var pages [][]byte
	for _, page := range r.split() {
		b, err := peer.Encode(kindCopy, &copyItems{Changes: page.Changes, Retained: page.Retained})
		if err != nil {
			return nil, err
		}
		pages = append(pages, b.Data)
	}
	return pack.Compress(pack.Fast, pages...)
}

// unpackPage decompresses a page. It rejects pages larger than any that is sent.
func unpackPage(packed []byte) (*copyItems, error) {
	data, err := pack.Decompress(packed, peer.MaxBody)
	if err != nil {
		return nil, fmt.Errorf("ingress: %w", err)
	}
	var items copyItems
	if err := peer.Decode(peer.Body{Kind: kindCopy, Data: data}, peer.MaxBody, &items); err != nil {
		return nil, err
	}
	return &items, nil
}
