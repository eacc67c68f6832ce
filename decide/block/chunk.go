package block

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxChunk is the maximum size of a chunk in bytes: the platform's limit of 1 MB
// for one value, minus 16 KiB for the envelope of a chunk.
const MaxChunk = 1_000_000 - 16<<10

// Manifest lists the chunks of one table. It is written by compare-and-swap after
// the chunks, so a reader that sees it finds every chunk.
type Manifest struct {
	Chunks []uint64 // ChunkKey of each chunk, in order
	Blocks int      // number of blocks in all chunks
	Sum    uint64   // Table.Sum
}

// ChunkKey returns the key of a chunk, which is the hash of its content. A chunk
// whose blocks have not changed keeps its key and need not be written or read
// again.
func ChunkKey(chunk []byte) uint64 { return xxhash.Sum64(chunk) }

// The format of a chunk is
//
//	version  1 byte
//	homes    uvarint count, then each as uvarint length and "region domain,..."
//	blocks   until the end: family and length (1 byte), home (uvarint),
//	         start minus the previous start (uvarint; IPv6: the upper 64 bits)
//
// The length byte is the prefix length for IPv4, and 64 plus the prefix length for
// IPv6. The first start of each family in a chunk is relative to zero.
const (
	chunkVersion     = 1
	ipv6LengthOffset = 64
)

// chunkEndMask ends a chunk after a block whose hash has these bits zero, which
// is one block in 2^16 on average. The ends of chunks then depend on the blocks
// and not on their positions, so an added block changes only its own chunk and
// not all later ones.
const chunkEndMask = 1<<16 - 1

// chunkWriter encodes one chunk.
type chunkWriter struct {
	table       *Table
	limit       int
	homeIndexes map[HomeID]uint64 // home numbers within the chunk
	homes       []byte
	body        []byte
	lastStart   uint64
	inIPv6      bool
}

// EncodeChunks encodes t as chunks of at most limit bytes each, and returns them
// with their manifest. A limit above MaxChunk is reduced to MaxChunk; it must be
// large enough for one block.
func EncodeChunks(t *Table, limit int) ([][]byte, Manifest, error) {
	m := Manifest{Blocks: t.Len(), Sum: t.Sum()}
	var chunks [][]byte
	w := chunkWriter{table: t, limit: min(limit, MaxChunk)}
	w.reset()
	flush := func() {
		chunk := w.encode()
		chunks = append(chunks, chunk)
		m.Chunks = append(m.Chunks, ChunkKey(chunk))
		w.reset()
	}
	for p, id := range t.All() {
		if !w.add(p, id) {
			flush()
			if !w.add(p, id) {
				return nil, Manifest{}, fmt.Errorf("%w: block %s does not fit in a chunk of %d bytes", ErrTooLarge, p, w.limit)
			}
		}
		if Hash(p)&chunkEndMask == 0 {
			flush()
		}
	}
	if len(w.body) > 0 {
		flush()
	}
	return chunks, m, nil
}

func (w *chunkWriter) reset() {
	w.homeIndexes = make(map[HomeID]uint64)
	w.homes, w.body = nil, nil
	w.lastStart, w.inIPv6 = 0, false
}

// maxChunkHeader bounds the version and the count of homes.
const maxChunkHeader = 1 + binary.MaxVarintLen32

// add appends a block. If the chunk has no room for it, add returns false and
// changes nothing.
func (w *chunkWriter) add(p netip.Prefix, id HomeID) bool {
	n, known := w.homeIndexes[id]
	home := ""
	if !known {
		n = uint64(len(w.homeIndexes))
		home = homeText(w.table.Home(id))
	}
	need := len(home) + 3*binary.MaxVarintLen64
	if maxChunkHeader+len(w.homes)+len(w.body)+need > w.limit {
		return false
	}
	if !known {
		w.homeIndexes[id] = n
		w.homes = binary.AppendUvarint(w.homes, uint64(len(home)))
		w.homes = append(w.homes, home...)
	}
	start, length := packPrefix(p)
	if p.Addr().Is6() && !w.inIPv6 {
		w.lastStart, w.inIPv6 = 0, true
	}
	w.body = append(w.body, length)
	w.body = binary.AppendUvarint(w.body, n)
	w.body = binary.AppendUvarint(w.body, start-w.lastStart)
	w.lastStart = start
	return true
}

// packPrefix returns the start and the length byte of a block.
func packPrefix(p netip.Prefix) (start uint64, length byte) {
	if p.Addr().Is4() {
		return uint64(key4(p.Addr())), byte(p.Bits())
	}
	return key6(p.Addr()), byte(ipv6LengthOffset + p.Bits())
}

func (w *chunkWriter) encode() []byte {
	out := make([]byte, 0, maxChunkHeader+len(w.homes)+len(w.body))
	out = append(out, chunkVersion)
	out = binary.AppendUvarint(out, uint64(len(w.homeIndexes)))
	out = append(out, w.homes...)
	return append(out, w.body...)
}

// DecodeChunks builds a table from the chunks of a manifest, given in the order of
// the manifest. If a chunk is missing, altered or surplus, it returns an error and
// no table.
func DecodeChunks(m Manifest, chunks [][]byte, topology Topology) (*Table, error) {
	if len(chunks) != len(m.Chunks) {
		return nil, fmt.Errorf("%w: got %d chunks, the manifest lists %d", ErrTruncated, len(chunks), len(m.Chunks))
	}
	b := NewBuilder(topology)
	for i, chunk := range chunks {
		if key := ChunkKey(chunk); key != m.Chunks[i] {
			return nil, fmt.Errorf("%w: chunk %d has key %016x, the manifest lists %016x", ErrTruncated, i+1, key, m.Chunks[i])
		}
		if err := decodeChunk(b, chunk); err != nil {
			return nil, fmt.Errorf("chunk %d: %w", i+1, err)
		}
	}
	t, err := b.Build()
	if err != nil {
		return nil, err
	}
	if t.Len() != m.Blocks || t.Sum() != m.Sum {
		return nil, fmt.Errorf("%w: got %d blocks with checksum %016x, the manifest states %d with %016x",
			ErrTruncated, t.Len(), t.Sum(), m.Blocks, m.Sum)
	}
	return t, nil
}

// chunkReader reads the fields of a chunk. After a decoding error, failed is set
// and the values read are zero.
type chunkReader struct {
	rest   []byte
	failed bool
}

func (r *chunkReader) readByte() byte {
	if len(r.rest) == 0 {
		r.failed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *chunkReader) readUvarint() uint64 {
	x, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return x
}

func (r *chunkReader) readString() string {
	n := r.readUvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func decodeChunk(b *Builder, chunk []byte) error {
	r := chunkReader{rest: chunk}
	if v := r.readByte(); v != chunkVersion {
		return fmt.Errorf("%w: chunk version %d, want %d", ErrSyntax, v, chunkVersion)
	}
	ids, err := decodeHomes(b, &r)
	if err != nil {
		return err
	}
	var last uint64
	inIPv6 := false
	for len(r.rest) > 0 {
		b.line++
		length, home, step := r.readByte(), r.readUvarint(), r.readUvarint()
		if r.failed || home >= uint64(len(ids)) {
			return &SourceError{Line: b.line, Err: fmt.Errorf("%w: chunk ends early or refers to an unknown home", ErrSyntax)}
		}
		if length >= ipv6LengthOffset && !inIPv6 {
			last, inIPv6 = 0, true
		}
		last += step
		p, err := unpackPrefix(last, length)
		if err == nil {
			err = b.addBlock(p, ids[home])
		}
		if err != nil {
			return &SourceError{Line: b.line, Err: err}
		}
	}
	return nil
}

func decodeHomes(b *Builder, r *chunkReader) ([]HomeID, error) {
	n := r.readUvarint()
	if n > uint64(len(r.rest)) {
		return nil, fmt.Errorf("%w: chunk states %d homes but has only %d bytes left", ErrSyntax, n, len(r.rest))
	}
	ids := make([]HomeID, 0, n)
	for range n {
		text := r.readString()
		if r.failed {
			return nil, fmt.Errorf("%w: chunk ends within its list of %d homes", ErrSyntax, n)
		}
		h, err := parseHome(text)
		if err != nil {
			return nil, err
		}
		id, err := b.homeID(h)
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// unpackPrefix is the inverse of packPrefix.
func unpackPrefix(start uint64, length byte) (netip.Prefix, error) {
	if length >= ipv6LengthOffset {
		return prefix6(start, length-ipv6LengthOffset), nil
	}
	if start > 1<<width4-1 || length > width4 {
		return netip.Prefix{}, fmt.Errorf("%w: start %d and length %d are not an IPv4 prefix", ErrPrefix, start, length)
	}
	return prefix4(uint32(start), length), nil
}
