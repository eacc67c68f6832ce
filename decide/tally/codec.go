package tally

import (
	"encoding/binary"
	"fmt"
	"math"
)

// maxPackedNumber bounds one number in a packed list. It leaves room for sums.
const maxPackedNumber = math.MaxUint64 >> 8

// appendPacked appends numbers to out as varints, and a run of zeros as a 0 and
// the number of further zeros. This keeps both cases short: one entry VM's
// window, where most positions are 0, and a whole region's, where few are.
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

// addUnpacked adds packed numbers to the elements of into, and returns the sum
// of the numbers added.
func addUnpacked(packed []byte, into []uint64) (uint64, error) {
	at, sum := 0, uint64(0)
	for len(packed) > 0 {
		v, n := binary.Uvarint(packed)
		if n <= 0 || v > maxPackedNumber || at >= len(into) {
			return 0, fmt.Errorf("%w: invalid packed number at index %d of %d", ErrBounds, at, len(into))
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
			return 0, fmt.Errorf("%w: invalid run of zeros at index %d of %d", ErrBounds, at, len(into))
		}
		packed = packed[n:]
		at += int(run) + 1
	}
	return sum, nil
}
