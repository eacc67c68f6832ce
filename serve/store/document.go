package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/serve/pack"
	"github.com/azurethread/azurethread/serve/platform"
)

const (
	// HeadKey is the key of the document.
	HeadKey = "azurethread/catalogue"
	// chunkPrefix is the prefix of the keys of chunks.
	chunkPrefix = "azurethread/chunk/"
	// MaxPlain is the largest catalogue kept uncompressed in the head, in
	// bytes, where operators can read it. Larger ones are compressed, since the
	// platform sends the head to each reader on each change.
	MaxPlain = 16 << 10
	// MaxInline is the largest compressed catalogue kept in the head, in bytes.
	// Larger ones are split into chunks.
	MaxInline = 384 << 10
	// MaxChunk is the largest chunk, in bytes.
	MaxChunk = 768 << 10
	// maxChunks bounds the chunks of one catalogue.
	maxChunks = 64
	// maxCatalogue bounds a decompressed catalogue, in bytes, so that a damaged
	// chunk cannot exhaust the memory.
	maxCatalogue = 64 << 20
	// MaxOperations is the number of operations listed in the head.
	MaxOperations = 256
)

// ErrMalformed means that the platform does not hold a valid document.
var ErrMalformed = errors.New("store: malformed document")

// operation is one accepted write. The versions of all operations tell readers
// which revisions the document was built on.
type operation struct {
	ID string `json:"id,omitempty"` // empty for a catalogue restored by the fleet
	config.Version
}

// document is the value of HeadKey.
type document struct {
	Format     int                  `json:"format"`
	Revision   uint64               `json:"revision"`
	Hash       uint64               `json:"hash"`
	Operations []operation          `json:"operations"` // newest last
	Catalogue  *catalogue.Catalogue `json:"catalogue,omitempty"`
	Packed     []byte               `json:"packed,omitempty"`   // compressed
	Chunks     []string             `json:"chunks,omitempty"`   // keys
	Obsolete   []string             `json:"obsolete,omitempty"` // chunk keys of the revision before
}

// head is the document with its catalogue and the platform's index. The zero
// value means that the platform has no document.
type head struct {
	document
	index uint64
}

// find returns the accepted operation with the given id.
func (d *document) find(id string) (operation, bool) {
	for _, o := range d.Operations {
		if o.ID == id {
			return o, true
		}
	}
	return operation{}, false
}

// listsSince reports whether every operation accepted after p is still listed, so
// that one that is missing was certainly not accepted.
func (d *document) listsSince(p config.Version) bool {
	if p == (config.Version{}) {
		return len(d.Operations) < MaxOperations
	}
	for _, o := range d.Operations {
		if o.Version == p {
			return true
		}
	}
	return false
}

// version returns the document's revision and hash.
func (d *document) version() config.Version {
	return config.Version{Revision: d.Revision, Hash: d.Hash}
}

// lineage returns the revisions that the document lists.
func (d *document) lineage() []config.Version {
	out := make([]config.Version, len(d.Operations))
	for i, o := range d.Operations {
		out[i] = o.Version
	}
	return out
}

// next returns the document that follows d, with catalogue c written by the
// operation id. base is what c was built on; if that is not d itself it is
// added to the lineage.
func (d *document) next(c *catalogue.Catalogue, id string, base config.Version) (document, error) {
	hash, err := config.Hash(c)
	if err != nil {
		return document{}, err
	}
	n := document{Format: config.Format, Revision: c.Revision, Hash: hash, Catalogue: c, Obsolete: d.Chunks}
	n.Operations = append(n.Operations, d.Operations...)
	if base != d.version() && base.Revision > 0 {
		n.Operations = append(n.Operations, operation{Version: base})
	}
	if at := n.version(); id != "" || at != base {
		n.Operations = append(n.Operations, operation{ID: id, Version: at})
	}
	n.Operations = n.Operations[max(0, len(n.Operations)-MaxOperations):]
	return n, nil
}

// chunk is a value that is written before the head that refers to it.
type chunk struct {
	key   string
	value []byte
}

// encode returns the value of the head and the chunks that it refers to.
func (d *document) encode() ([]byte, []chunk, error) {
	body, err := json.Marshal(d.Catalogue)
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	if len(body) <= MaxPlain {
		value, err := json.Marshal(d)
		return value, nil, err
	}
	stored := *d
	stored.Catalogue = nil
	stored.Packed, err = compress(body)
	if err != nil {
		return nil, nil, err
	}
	var chunks []chunk
	if len(stored.Packed) > MaxInline {
		chunks, err = splitChunks(stored.Packed, d.version())
		stored.Packed = nil
	}
	for _, c := range chunks {
		stored.Chunks = append(stored.Chunks, c.key)
	}
	if err != nil {
		return nil, nil, err
	}
	value, err := json.Marshal(&stored)
	return value, chunks, err
}

func compress(body []byte) ([]byte, error) {
	packed, err := pack.Compress(pack.Small, body)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return packed[0], nil
}

// splitChunks splits a compressed catalogue into chunks.
func splitChunks(packed []byte, p config.Version) ([]chunk, error) {
	size := len(packed)
	var out []chunk
	for len(packed) > 0 {
		n := min(MaxChunk, len(packed))
		key := fmt.Sprintf("%s%d-%016x-%d", chunkPrefix, p.Revision, p.Hash, len(out))
		out = append(out, chunk{key: key, value: packed[:n]})
		packed = packed[n:]
	}
	if len(out) > maxChunks {
		return nil, fmt.Errorf("store: catalogue of %d bytes: %w", size, platform.ErrTooLarge)
	}
	return out, nil
}

// readHead reads the document with its chunks. If there is none it returns a
// zero head and no error.
func readHead(ctx context.Context, s platform.Store) (head, error) {
	e, err := s.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	return decodeHead(ctx, s, e)
}

// decodeHead decodes the entry of HeadKey and reads the chunks that it refers
// to.
func decodeHead(ctx context.Context, s platform.Store, e platform.Entry) (head, error) {
	h := head{index: e.Index}
	if err := json.Unmarshal(e.Value, &h.document); err != nil {
		return head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if h.Format != config.Format {
		return head{}, fmt.Errorf("%w: format %d", ErrMalformed, h.Format)
	}
	if err := h.loadCatalogue(ctx, s); err != nil {
		return head{}, err
	}
	return h, h.check()
}

// loadCatalogue decompresses the catalogue, from the chunks if there are any.
func (d *document) loadCatalogue(ctx context.Context, s platform.Store) (err error) {
	if d.Catalogue != nil {
		return nil
	}
	packed := d.Packed
	if len(packed) == 0 {
		packed, err = readChunks(ctx, s, d.Chunks)
	}
	if err == nil {
		d.Catalogue, err = unpack(packed)
	}
	return err
}

// check compares the catalogue with the document's revision and hash.
func (d *document) check() error {
	hash, err := config.Hash(d.Catalogue)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if d.Catalogue.Revision != d.Revision || hash != d.Hash {
		return fmt.Errorf("%w: content of revision %d has another hash", ErrMalformed, d.Revision)
	}
	return nil
}

func readChunks(ctx context.Context, s platform.Store, keys []string) ([]byte, error) {
	if len(keys) == 0 || len(keys) > maxChunks {
		return nil, fmt.Errorf("%w: %d chunks", ErrMalformed, len(keys))
	}
	var packed []byte
	for _, k := range keys {
		e, err := s.Get(ctx, k)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, fmt.Errorf("%w: chunk %q is missing", ErrMalformed, k)
		}
		if err != nil {
			return nil, err
		}
		packed = append(packed, e.Value...)
	}
	return packed, nil
}

func unpack(packed []byte) (*catalogue.Catalogue, error) {
	body, err := pack.Decompress(packed, maxCatalogue)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	c := new(catalogue.Catalogue)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return c, nil
}
