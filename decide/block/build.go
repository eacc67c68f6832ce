package block

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// MaxBlocks is the maximum number of blocks in a table. It bounds the memory that
// a faulty source can make a daemon allocate.
const MaxBlocks = 1 << 24

// Builder collects blocks for a Table.
type Builder struct {
	topology Topology
	homes    *homeSet
	v4       []parsedBlock[uint32]
	v6       []parsedBlock[uint64]
	line     int
}

// parsedBlock is a block and its line in the source, for error messages.
type parsedBlock[K key] struct {
	start K
	line  uint32
	home  HomeID
	bits  uint8
}

// NewBuilder returns a Builder that accepts only regions and failure domains of
// topology.
func NewBuilder(topology Topology) *Builder {
	return &Builder{topology: topology, homes: newHomeSet(nil)}
}

// Add adds a block. The n-th call counts as line n in errors.
func (b *Builder) Add(p netip.Prefix, h Home) error {
	b.line++
	id, err := b.homeID(h)
	if err == nil {
		err = b.addBlock(p, id)
	}
	if err != nil {
		return &SourceError{Line: b.line, Err: err}
	}
	return nil
}

// homeID checks h against the topology and returns its HomeID.
func (b *Builder) homeID(h Home) (HomeID, error) {
	if err := b.topology.check(h); err != nil {
		return 0, err
	}
	return b.homes.id(h)
}

// addBlock adds a block from the current line.
func (b *Builder) addBlock(p netip.Prefix, id HomeID) error {
	if err := checkPrefix(p); err != nil {
		return err
	}
	if len(b.v4)+len(b.v6) >= MaxBlocks {
		return fmt.Errorf("%w: more than %d blocks", ErrTooLarge, MaxBlocks)
	}
	line, bits := uint32(b.line), uint8(p.Bits())
	if p.Addr().Is4() {
		b.v4 = append(b.v4, parsedBlock[uint32]{key4(p.Addr()), line, id, bits})
	} else {
		b.v6 = append(b.v6, parsedBlock[uint64]{key6(p.Addr()), line, id, bits})
	}
	return nil
}

// Build returns the table and empties the Builder. It fails with a
// *ConflictError if one prefix was added with two different homes. Adding the same
// block twice is allowed.
func (b *Builder) Build() (*Table, error) {
	e4, err := sortedEntries(b, b.v4, prefix4)
	if err != nil {
		return nil, err
	}
	b.v4 = nil // as large as the table: free it early
	e6, err := sortedEntries(b, b.v6, prefix6)
	if err != nil {
		return nil, err
	}
	b.v6 = nil
	t := &Table{
		v4:         newPages(e4),
		v6:         newPages(e6),
		homes:      b.homes.homes,
		homeHashes: b.homes.hashes,
	}
	t.checksum = checksumOf(&t.v4, t.homeHashes) + checksumOf(&t.v6, t.homeHashes)
	b.homes = newHomeSet(nil)
	return t, nil
}

// sortedEntries sorts parsed blocks and converts them to entries without
// duplicates.
func sortedEntries[K key](b *Builder, parsed []parsedBlock[K], prefix func(K, uint8) netip.Prefix) ([]entry[K], error) {
	slices.SortFunc(parsed, func(x, y parsedBlock[K]) int {
		if c := cmp.Compare(x.start, y.start); c != 0 {
			return c
		}
		if c := cmp.Compare(x.bits, y.bits); c != 0 {
			return c
		}
		return cmp.Compare(x.line, y.line)
	})
	entries := make([]entry[K], 0, len(parsed))
	for i, d := range parsed {
		if i == 0 || d.start != parsed[i-1].start || d.bits != parsed[i-1].bits {
			entries = append(entries, entry[K]{start: d.start, home: d.home, bits: d.bits, parent: noParent})
			continue
		}
		if e := parsed[i-1]; e.home != d.home {
			return nil, &ConflictError{
				Prefix: prefix(d.start, d.bits),
				Line:   int(d.line), First: int(e.line),
				Home: b.homes.homes[d.home], Earlier: b.homes.homes[e.home],
			}
		}
	}
	return entries, nil
}

func checksumOf[K key](t *pages[K], homeHashes []uint64) uint64 {
	var sum uint64
	t.all(func(e *entry[K]) bool {
		sum += e.checksum(homeHashes)
		return true
	})
	return sum
}

func (e *entry[K]) checksum(homeHashes []uint64) uint64 {
	return blockChecksum(widthOf[K](), uint64(e.start), e.bits, homeHashes[e.home])
}
