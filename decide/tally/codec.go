package tally

import (
	"encoding/binary"
	"fmt"
	"math"
)

// maxPackedNumber bounds one number in a packed list.
const maxPackedNumber = math.MaxUint64 >> 8

// appendPacked appends numbers to out as varints, a run of zeros as a 0 and the number
// of further zeros. Most positions of one entry VM's window are 0, and those
// of a whole region are not; both come out short.
func appendPacked(out []byte, numbers []uint64) []byte {
	numbers = trimZeros(numbers)
	for i := 0; i < len(numbers); i++ {
		out = binary.AppendUvarint(out, numbers[i])
		if numbers[i] != 0 {
			continue
		}
		run := i
		for numbers[i+1] == 0 {
			i++
		}
		out = binary.AppendUvarint(out, uint64(i-run))
	}
	return out
}

func trimZeros(numbers []uint64) []uint64 {
	n := len(numbers)
	for n > 0 && numbers[n-1] == 0 {
		n--
	}
	return numbers[:n]
}

// addUnpacked adds packed numbers to those of into, and returns the sum of what it
// has added.
func addUnpacked(packed []byte, into []uint64) (uint64, error) {
	at, sum := 0, uint64(0)
	for len(packed) > 0 {
		v, n := binary.Uvarint(packed)
		if n <= 0 || v > maxPackedNumber || at >= len(into) {
			return 0, fmt.Errorf("%w: packed numbers", ErrBounds)
		}
		packed = packed[n:]
		if v != 0 {
			into[at] += v
			sum += v
			at++
			continue
		}
		run, n := binary.Uvarint(packed)
		if n <= 0 || run >= uint64(len(into)-at) {
			return 0, fmt.Errorf("%w: run of zeros", ErrBounds)
		}
		packed = packed[n:]
		at += int(run) + 1
	}
	return sum, nil
}
