package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against two requests of different content sharing a fingerprint.
func TestDifferentContentsHaveDifferentFingerprints(t *testing.T) {
	is := is.New(t)
	contents := []Content{
		{Method: "GET", Host: "h", URI: "/a"},
		{Method: "POST", Host: "h", URI: "/a"},
		{Method: "GET", Host: "h/", URI: "a"},
		{Method: "GET", Host: "h", URI: "/a?b"},
		{Method: "GET", Host: "h", URI: "/a", Caller: "c"},
		{Method: "GET", Host: "h", URI: "/a", Body: []byte("c")},
	}
	seen := make(map[Fingerprint]int)
	for i, c := range contents {
		f := FingerprintOf(c)
		is.Equal(f, FingerprintOf(c))
		if other, ok := seen[f]; ok {
			t.Fatalf("contents %d and %d have the same fingerprint", other, i)
		}
		seen[f] = i
	}
}

func TestFingerprintTextRoundTrip(t *testing.T) {
	is := is.New(t)
	f := FingerprintOf(Content{Method: "GET", URI: "/a"})
	text, err := f.MarshalText()
	is.NoErr(err)
	var read Fingerprint
	is.NoErr(read.UnmarshalText(text))
	is.Equal(read, f)
	is.True(read.UnmarshalText(text[1:]) != nil)
	is.True(read.UnmarshalText([]byte("zz"+string(text[2:]))) != nil)
}

func BenchmarkFingerprint(b *testing.B) {
	c := Content{Method: "GET", Host: "shop.example", URI: "/lookup/4a/665c"}
	for b.Loop() {
		FingerprintOf(c)
	}
}

func BenchmarkFingerprintOfABody(b *testing.B) {
	c := Content{Method: "POST", Host: "shop.example", URI: "/upload/4a/665c", Body: make([]byte, 1<<20)}
	b.SetBytes(int64(len(c.Body)))
	for b.Loop() {
		FingerprintOf(c)
	}
}
