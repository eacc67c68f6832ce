package shift

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/catalogue"
)

// salt is the hash of a shift's id.
type salt uint64

func saltOf(id string) salt { return salt(xxhash.Sum64String(id)) }

// position returns the position of a client block, given by its hash, in the
// shift: 0..ShareUnit-1.
func (s salt) position(block uint64) catalogue.Share {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s))
	binary.LittleEndian.PutUint64(b[8:], block)
	p, _ := bits.Mul64(xxhash.Sum64(b[:]), catalogue.ShareUnit)
	return catalogue.Share(p)
}

// Position returns the position of a client block, given by its hash, in the
// shift of the given id: 0..ShareUnit-1. A shift moves the blocks whose
// positions lie below its share.
func Position(id string, block uint64) catalogue.Share {
	return saltOf(id).position(block)
}

// Moved reports whether s, in its present state, moves the block.
func Moved(s *catalogue.Shift, block uint64) bool {
	return s.State.Moves() && Position(s.ID, block) < s.Share
}
