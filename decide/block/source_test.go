package block_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/block/blocktest"
)

func errIs(err, target error) bool { return errors.Is(err, target) }

var testTopology = block.Topology{"attiki": {"attiki-1", "attiki-2"}, "kriti": {"kriti-1"}}

// withEndLine appends an end line with the given count and the checksum of body.
func withEndLine(body string, count int) string {
	return fmt.Sprintf("%send %d %016x\n", body, count, xxhash.Sum64String(body))
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	body := "# blocks of the islands\n\n10.0.0.0/8\tattiki attiki-2,attiki-1\n10.1.0.0/16 kriti\r\n2400:1::/32 kriti kriti-1\n"
	tab, err := block.Load(strings.NewReader(withEndLine(body, 3)), testTopology)
	is.NoErr(err)
	is.Equal(tab.Len(), 3)

	var out bytes.Buffer
	is.NoErr(block.Write(&out, tab))
	again, err := block.Load(&out, testTopology)
	is.NoErr(err)
	is.Equal(again.Sum(), tab.Sum())
}

// Guards against routing the clients of some blocks by the default, or to a wrong
// region, after a new table was loaded: the source was truncated or altered in
// transfer, or contradicts itself. Each remaining line is valid by itself, so the
// source must be rejected as a whole, and the last good table stays in force.
func TestLoadRefusesFaultySource(t *testing.T) {
	good := "10.0.0.0/8 attiki\n10.1.0.0/16 kriti\n"
	cases := map[string]struct {
		text string
		line int
		want error
	}{
		"conflict":         {withEndLine(good+"10.0.0.0/8 kriti\n", 3), 3, block.ErrConflict},
		"unknown region":   {withEndLine(good+"11.0.0.0/8 thraki\n", 3), 3, block.ErrUnknownName},
		"unknown domain":   {withEndLine(good+"11.0.0.0/8 kriti attiki-1\n", 3), 3, block.ErrUnknownName},
		"no last line":     {good, 3, block.ErrTruncated},
		"empty":            {"", 1, block.ErrTruncated},
		"lost line":        {"10.0.0.0/8 attiki\n" + strings.SplitAfter(withEndLine(good, 2), "\n")[2], 2, block.ErrTruncated},
		"altered":          {strings.Replace(withEndLine(good, 2), "/16", "/17", 1), 3, block.ErrTruncated},
		"text after end":   {withEndLine(good, 2) + "11.0.0.0/8 kriti\n", 4, block.ErrSyntax},
		"second end":       {withEndLine(good, 2) + withEndLine(good, 2), 4, block.ErrSyntax},
		"bad end":          {good + "end 2\n", 3, block.ErrSyntax},
		"no home":          {withEndLine(good+"11.0.0.0/8\n", 3), 3, block.ErrSyntax},
		"surplus field":    {withEndLine(good+"11.0.0.0/8 kriti kriti-1 x\n", 3), 3, block.ErrSyntax},
		"empty domain":     {withEndLine(good+"11.0.0.0/8 kriti kriti-1,\n", 3), 3, block.ErrSyntax},
		"no prefix":        {withEndLine(good+"11.0.0.0 kriti\n", 3), 3, block.ErrPrefix},
		"host bits":        {withEndLine(good+"11.0.0.1/8 kriti\n", 3), 3, block.ErrPrefix},
		"long IPv6":        {withEndLine(good+"2400::/65 kriti\n", 3), 3, block.ErrPrefix},
		"mapped":           {withEndLine(good+"::ffff:10.0.0.0/104 kriti\n", 3), 3, block.ErrPrefix},
		"line too long":    {good + strings.Repeat("x", 70<<10), 3, block.ErrSyntax},
		"only end differs": {strings.Replace(withEndLine(good, 2), "end 2", "end 3", 1), 3, block.ErrTruncated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab, err := block.Load(strings.NewReader(c.text), testTopology)
			is.Equal(tab, nil)
			is.True(errIs(err, c.want))
			is.True(strings.HasPrefix(err.Error(), fmt.Sprintf("line %d: ", c.line)))
		})
	}
}

func TestLoadMergesDuplicateBlock(t *testing.T) {
	is := is.New(t)
	tab, err := block.Load(strings.NewReader(withEndLine("10.0.0.0/8 kriti\n10.0.0.0/8 kriti\n", 2)), testTopology)
	is.NoErr(err)
	is.Equal(tab.Len(), 1)
}

const testChunkLimit = 4096

func TestChunksRoundTrip(t *testing.T) {
	is := is.New(t)
	topology := blocktest.Topology(3, 6)
	tab := blocktest.Table(20_000, topology, true, 1)
	chunks, manifest, err := block.EncodeChunks(tab, testChunkLimit)
	is.NoErr(err)
	is.True(len(chunks) > 10)
	for _, c := range chunks {
		is.True(len(c) <= testChunkLimit)
	}
	again, err := block.DecodeChunks(manifest, chunks, topology)
	is.NoErr(err)
	is.Equal(again.Sum(), tab.Sum())
	is.Equal(again.Len(), tab.Len())
}

// Guards against the same failure in the chunked form: chunks are written and read
// one by one, so a reader can get a lost, old or altered chunk. Each chunk is valid
// by itself; only the manifest shows that it belongs to this table.
func TestDecodeChunksRefusesFaultySource(t *testing.T) {
	is := is.New(t)
	topology := blocktest.Topology(3, 6)
	tab := blocktest.Table(5_000, topology, true, 1)
	chunks, manifest, err := block.EncodeChunks(tab, testChunkLimit)
	is.NoErr(err)

	_, err = block.DecodeChunks(manifest, chunks[1:], topology)
	is.True(errIs(err, block.ErrTruncated))
	swapped := append([][]byte{chunks[1], chunks[0]}, chunks[2:]...)
	_, err = block.DecodeChunks(manifest, swapped, topology)
	is.True(errIs(err, block.ErrTruncated))
	fewer := block.Manifest{Chunks: manifest.Chunks[1:], Blocks: manifest.Blocks, Sum: manifest.Sum}
	_, err = block.DecodeChunks(fewer, chunks[1:], topology)
	is.True(errIs(err, block.ErrTruncated))
	_, err = block.DecodeChunks(manifest, chunks, blocktest.Topology(2, 4))
	is.True(errIs(err, block.ErrUnknownName))

	for cut := range chunks[0] {
		short := chunks[0][:cut]
		m := block.Manifest{Chunks: []uint64{block.ChunkKey(short)}, Blocks: manifest.Blocks, Sum: manifest.Sum}
		_, err = block.DecodeChunks(m, [][]byte{short}, topology)
		is.True(err != nil)
	}
}

// Guards against rewriting all chunks in the platform's service on each change of
// a table: a block is added near the front, and the ends of all later chunks move
// if they depend only on the size.
func TestChangedBlockKeepsOtherChunks(t *testing.T) {
	is := is.New(t)
	blocks := blocktest.Blocks(600_000, blocktest.Topology(3, 6), false, 1)
	without, with := block.NewBuilder(nil), block.NewBuilder(nil)
	for i, x := range blocks {
		if i != 10 {
			is.NoErr(without.Add(x.Prefix, x.Home))
		}
		is.NoErr(with.Add(x.Prefix, x.Home))
	}
	before := chunkKeysOf(is, without)
	after := chunkKeysOf(is, with)
	is.True(len(after) >= 4)
	known := make(map[uint64]bool)
	for _, k := range before {
		known[k] = true
	}
	written := 0
	for _, k := range after {
		if !known[k] {
			written++
		}
	}
	is.True(written <= 2)
}

func chunkKeysOf(is *is.I, b *block.Builder) []uint64 {
	t, err := b.Build()
	is.NoErr(err)
	_, m, err := block.EncodeChunks(t, block.MaxChunk)
	is.NoErr(err)
	return m.Chunks
}

func FuzzLoad(f *testing.F) {
	f.Add(withEndLine("10.0.0.0/8 attiki attiki-1,attiki-2\n2400::/32 kriti\n", 2))
	f.Add("10.0.0.0/8 attiki\nend 1 0\n")
	f.Fuzz(func(t *testing.T, text string) {
		tab, err := block.Load(strings.NewReader(text), testTopology)
		if (tab == nil) == (err == nil) {
			t.Fatalf("Load returned table %v and error %v, want exactly one of them", tab, err)
		}
	})
}

func FuzzDecodeChunk(f *testing.F) {
	chunks, _, err := block.EncodeChunks(blocktest.Table(200, blocktest.Topology(3, 6), true, 1), testChunkLimit)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0])
	f.Fuzz(func(t *testing.T, chunk []byte) {
		m := block.Manifest{Chunks: []uint64{block.ChunkKey(chunk)}}
		tab, err := block.DecodeChunks(m, [][]byte{chunk}, nil)
		if err == nil && tab.Len() != 0 {
			t.Fatalf("DecodeChunks accepted %d blocks, but the manifest states none", tab.Len())
		}
	})
}
