package ingress

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/serve/peer"
)

// fleetCopy is a copy of n keys that differ like those of targets.
func fleetCopy(n int) relay {
	rng := rand.New(rand.NewPCG(1, 1))
	r := relay{AsOf: 7, Full: true}
	for i := range n {
		domain := rng.IntN(6)
		r.Changes = append(r.Changes, mirror.Change{Item: mirror.Item{
			Key: fmt.Sprintf("targets/service-%d/i-%010x", i%3, rng.Uint64()>>24),
			Value: fmt.Appendf(nil, `{"id":"i-%010x","address":"10.%d.%d.%d:%d","service":"service-%d","domain":"region-%d-%d","slots":9,"born":%d,"version":"v1","state":"ready","lease":%d}`,
				rng.Uint64()>>24, domain, rng.IntN(256), rng.IntN(256), 8000+rng.IntN(1000), i%3, domain%3, domain/3, 1790945471008930305+rng.Int64N(1e12), rng.Int64()),
			Revision: mirror.Revision(rng.IntN(7)),
		}})
	}
	return r
}

// Guards against a slow restart: after all its VMs were killed, a fleet of 300
// VMs and 3,000 targets served after eight seconds, one of 100 VMs after half a
// second. Fifty VMs of a failure domain fetched copies of 0.7 MB from one of
// them. A link of 200 Mbit/s needed as long for that as the 1.5 s for which they
// wait, and those that waited in vain asked other VMs, in other regions too, and
// the store. All copies together may take a third of that time.
func TestCompressedCopiesFitReaderLink(t *testing.T) {
	is := is.New(t)
	const followers, bytesPerSecond = 50, 200e6 / 8
	r := fleetCopy(3300)
	pages, err := packPages(&r)
	is.NoErr(err)
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	is.True(float64(followers*size) < readerCopyTimeout.Seconds()/3*bytesPerSecond)
}

func TestPackedCopyRoundTrip(t *testing.T) {
	is := is.New(t)
	r := fleetCopy(3300)
	pages, err := packPages(&r)
	is.NoErr(err)
	var got []mirror.Change
	for _, p := range pages {
		items, err := unpackPage(p)
		is.NoErr(err)
		got = append(got, items.Changes...)
	}
	is.Equal(got, r.Changes)
}

// A damaged page, a truncated one and one that decompresses to more than the
// largest message are rejected.
func TestInvalidPagesAreRejected(t *testing.T) {
	r := fleetCopy(10)
	pages, err := packPages(&r)
	if err != nil {
		t.Fatal(err)
	}
	large := relay{Full: true, Changes: []mirror.Change{{Item: mirror.Item{Value: make([]byte, peer.MaxBody-1024)}}}}
	largest, err := packPages(&large)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpackPage(largest[0]); err != nil {
		t.Errorf("the largest page: %v", err)
	}
	damaged := append([]byte(nil), pages[0]...)
	damaged[len(damaged)/2] ^= 0x55
	for name, page := range map[string][]byte{
		"empty": nil, "cut off": pages[0][:len(pages[0])-3], "damaged": damaged, "bomb": decompressionBomb(t),
	} {
		if _, err := unpackPage(page); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// The same copy is compressed once, and again for a newer revision.
func TestCopyIsPackedOncePerRevision(t *testing.T) {
	is := is.New(t)
	var p packedCopies
	packed := 0
	of := func(asOf mirror.Revision) {
		v := copyVersion{at: mirror.Position{Revision: asOf}}
		_, err := p.get(v, func() (relay, copyVersion) {
			packed++
			return fleetCopy(3), v
		})
		is.NoErr(err)
	}
	of(7)
	of(7)
	is.Equal(packed, 1)
	of(8)
	is.Equal(packed, 2)
	p.evict()
	of(8)
	is.Equal(packed, 3)
}

// decompressionBomb is a page of a few KB that decompresses to 64 MB.
func decompressionBomb(t *testing.T) []byte {
	t.Helper()
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer enc.Close()
	return enc.EncodeAll(make([]byte, 64<<20), nil)
}
